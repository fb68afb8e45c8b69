//! The almondsail process beside each backend server.
//!
//! One thread, `control`, owns the control state of
//! [`almondsail_core::control`] with its timers, its links to other nodes and
//! its requests to the store. The threads of a second runtime carry calls;
//! they read a snapshot that the control thread publishes.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

mod answer_body;
mod answer_recorder;
mod answer_stream;
mod answer_watcher;
mod body;
pub mod call_counters;
mod call_handler;
pub mod call_headers;
mod call_table;
mod call_timer;
mod caller_marks;
mod caller_request;
mod callers;
mod claim;
mod claim_handover;
mod claims;
pub mod cli;
pub mod clock;
pub mod control_input;
pub mod control_metrics;
pub mod control_request;
pub mod control_thread;
pub mod cost_meter;
mod counted_calls;
mod counted_stream;
mod door;
mod door_request;
mod door_server;
mod ended_calls;
mod exchange;
mod exchange_pool;
mod failure;
mod forward;
mod handover_batch;
mod handover_step;
mod held_claim;
pub mod http_server;
mod in_flight;
pub mod local_api;
pub mod log;
pub mod metrics;
pub mod node;
pub mod operator_auth;
pub mod operator_control;
pub mod operator_error;
mod operator_json;
mod operator_outcome_path;
mod operator_report_params;
pub mod operators;
pub mod peer_link;
mod peer_token;
mod report_reader;
mod server;
pub mod settings;
mod slot;
mod slot_wait;
mod slots;
mod stall_limit;
pub mod state_log;
pub mod store_client;
mod traffic;
mod traffic_builder;
mod traffic_error;
mod traffic_settings;
mod version_survey;

pub use body::MAX_BODY;
pub use callers::{MAX_HEADER, serve_callers};
pub use door_server::serve_door;
pub use traffic::Traffic;
pub use traffic_builder::TrafficBuilder;
pub use traffic_error::TrafficError;
pub use traffic_settings::TrafficSettings;
