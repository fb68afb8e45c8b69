//! Test doubles for the systems around almondsail, and a harness that runs the
//! built binaries as child processes.
//!
//! Only tests, examples and benches use this crate; neither shipped binary does.
//! The logic of the test doubles (`KeyValues`, `Faults`, `ExecutionLog`) performs
//! no input or output; the servers around it add sockets and timers.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod backend;
pub mod harness;
pub mod http;
pub mod mesh;
pub mod platform;
pub mod soak;
pub mod store;
pub mod traffic;

mod bound_addresses;
mod stop_signal;

pub use bound_addresses::BoundAddresses;
pub use stop_signal::stop_signal;
