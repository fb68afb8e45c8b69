//! The operators' command line of almondsail.
//!
//! [`language`] parses statements, [`exchange`] sends one HTTP request to a node,
//! [`delivery`] chooses the node to try next, and [`output`] writes the results
//! as text or JSON. [`explain`] works on log files alone.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod cli;
pub mod delivery;
pub mod exchange;
pub mod exit;
pub mod explain;
pub mod language;
pub mod options;
pub mod output;
pub mod session;
pub mod task;
