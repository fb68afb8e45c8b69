//! The operators' command line of almondsail.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod language;
