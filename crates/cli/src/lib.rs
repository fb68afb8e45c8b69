//! The operators' command line of almondsail.
//!
//! [`language`] reads statements, [`node_client`] exchanges messages with a
//! node, [`delivery`] decides which node to ask next, and [`output`] writes
//! the results for people and programs.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod cli;
pub mod delivery;
pub mod exit;
pub mod language;
pub mod node_client;
pub mod output;
pub mod session;
