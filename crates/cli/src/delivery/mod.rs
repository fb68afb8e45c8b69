//! Tries the nodes in order until one carries out a request.
//!
//! A query changes nothing and may go to the next node after any failure. A
//! command is repeated only with the same write id: every writer first looks
//! for the id in the configuration's history, and answers with the version that
//! carries it instead of writing again.

mod attempt;
mod delivery_result;
mod failover;
mod node_failure;

pub use delivery_result::DeliveryResult;
pub use failover::{send_command, send_query};
pub use node_failure::NodeFailure;
