//! The process beside each backend server, as a library.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

mod answer_body;
mod answer_recorder;
mod answer_watcher;
mod body;
pub mod call_counters;
pub mod call_headers;
mod call_table;
mod callers;
mod claims;
mod clock;
mod counted_stream;
mod door;
mod door_request;
mod door_server;
mod exchange;
mod exchange_pool;
mod failure;
mod forward;
mod peer_token;
mod server;
mod slot;
mod stall_limit;
mod traffic;
mod traffic_settings;

pub use body::MAX_BODY;
pub use callers::{MAX_HEADER, serve_callers};
pub use door_server::serve_door;
pub use traffic::{Traffic, TrafficBuilder, TrafficError};
pub use traffic_settings::TrafficSettings;
