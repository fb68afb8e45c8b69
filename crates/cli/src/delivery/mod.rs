//! Which node is asked, and what its answer means.
//!
//! A question is asked again at the next node after any failure. A command is
//! sent again only with the same write id: every writer first looks for the id
//! in the configuration's history, and answers with the version that carries it
//! instead of writing again.

mod attempt;
mod delivery_result;
mod failover;
mod node_failure;

pub use delivery_result::DeliveryResult;
pub use failover::{send_command, send_query};
pub use node_failure::NodeFailure;
