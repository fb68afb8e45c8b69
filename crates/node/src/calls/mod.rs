//! Forwards calls from callers to backend servers.
//!
//! A caller sends a call to any node, its entry node. [`serve_callers`] accepts it there and
//! `forward` sends it to an endpoint: a backend server and the node beside it. On that node
//! [`serve_inbound`] accepts the call and `inbound` runs it at the backend server.
//! `client_connection` and `connection_pool` manage the HTTP connections to the next hop. `claims`
//! and `claim_guard` use idempotency keys to keep a repeated call from running twice.

pub(crate) mod answer_body;
mod answer_end;
mod answer_filter;
mod answer_head;
pub(crate) mod answer_limit;
mod answer_recorder;
pub(crate) mod answer_reservation;
mod answer_stream;
mod answer_watcher;
mod batch_outcome;
pub(crate) mod body_bytes;
mod buffered_body;
pub mod call_counters;
mod call_handler;
pub mod call_headers;
mod call_options;
mod call_timer;
mod caller_request;
mod callers;
mod claim;
mod claim_guard;
mod claim_handover;
mod claims;
pub(crate) mod client_connection;
pub(crate) mod connection_pool;
mod failure;
mod filtered_stream;
mod forward;
mod forwarded_call;
mod handover_batch;
pub(crate) mod held_answer;
mod in_flight;
mod inbound;
mod inbound_server;
mod limited_stream;
mod peer_token;
mod read_allowance;
mod recorded_answer;
mod routing_table;
mod server;
mod slot;
mod slot_wait;
mod slots;
mod traffic;
mod traffic_builder;
mod traffic_error;
mod traffic_settings;
mod write_timeout_stream;

pub use buffered_body::MAX_BODY;
pub use callers::serve_callers;
pub use inbound_server::serve_inbound;
pub use server::MAX_HEADER;
pub use traffic::Traffic;
pub use traffic_builder::TrafficBuilder;
pub use traffic_error::TrafficError;
pub use traffic_settings::TrafficSettings;
