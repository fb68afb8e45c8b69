//! The almondsail process that runs beside each backend server.
//!
//! One thread, `control`, owns the control state of [`almondsail_core::control`] with its timers,
//! its connections to other nodes and its requests to the store. The threads of a second runtime
//! serve calls; they read a snapshot that the control thread publishes.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

mod accept;
pub mod byte_counts;
pub mod calls;
pub mod cli;
pub mod clock;
pub mod control;
mod counted_stream;
mod final_status;
pub mod fleet;
mod http_client;
pub mod http_server;
pub mod local_api;
pub mod log;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peer_link;
pub mod settings;
mod socket;
pub mod store_client;

pub use calls::{
    MAX_BODY, MAX_HEADER, Traffic, TrafficBuilder, TrafficError, TrafficSettings, serve_callers,
    serve_inbound,
};
