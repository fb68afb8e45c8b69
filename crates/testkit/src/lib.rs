//! Stand-ins for the systems around almondsail, and a harness that runs processes.
//!
//! Nothing here is part of the two shipped binaries. The stand-ins keep their
//! decisions (`KeyValues`, `Faults`, `ExecutionLog`) free of input and output;
//! the servers around them add sockets and timers.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod backend;
pub mod harness;
pub mod http;
pub mod mesh;
pub mod platform;
pub mod store;
pub mod traffic;

mod bound_addresses;
mod stop_signal;

pub use bound_addresses::BoundAddresses;
pub use stop_signal::stop_signal;
