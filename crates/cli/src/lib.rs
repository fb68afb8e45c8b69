//! The operators' command line of almondsail.
//!
//! [`language`] reads statements, [`exchange`] sends a message to a node and
//! takes its answer, [`delivery`] decides which node to ask next, and
//! [`output`] writes the results for people and programs.

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
