//! Which node is asked, and what its answer means.
//!
//! A question is asked again at the next node after any failure. A command is
//! sent again only with the same write id: every writer first looks for the id
//! in the configuration's history, and answers with the version that carries it
//! instead of writing again.

mod attempt;
mod failure;
mod result;
mod turns;

pub use failure::Failure;
pub use result::Delivery;
pub use turns::{ask, command};
