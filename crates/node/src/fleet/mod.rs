//! Runs a node of a fleet, which reads its configuration and rollouts from an external store.
//!
//! Layers, each using only those below it:
//!
//! 1. `fleet_node` builds and starts the other modules; `servers` runs and stops the listeners.
//! 2. `control_loop` owns the control state; `local_api` receives the announcements of the backend
//!    server; `caller_handler` and `inbound_handler` answer requests.
//! 3. `inbound` runs calls at the backend server, `endpoint_client` forwards calls to other nodes,
//!    and `slot_queue` queues calls until the backend server has a free slot.
//! 4. `http1` parses requests and writes answers; `fleet_store_client` and `heartbeat_link` send
//!    the control state's messages to the store and to other nodes.

mod call_failure;
mod call_metrics;
mod caller_handler;
mod caller_result;
mod config_source;
mod control_delay;
mod control_http_client;
mod control_loop;
mod endpoint_client;
mod event_log;
mod failure_response;
mod fleet_node;
mod fleet_settings;
mod fleet_store_client;
mod forwarded_call;
mod freshness_metrics;
mod heartbeat_link;
mod hop;
mod http1;
mod inbound;
mod inbound_handler;
mod load_shedding;
mod local_api;
mod queue_slot;
mod quota_link;
mod quota_metrics;
mod quota_token;
mod refusal_metrics;
mod reported_load;
mod server_metrics;
mod servers;
mod slot_queue;
mod stop_phase;
mod store_requests;
mod team_labels;
mod traffic;
mod unanswered_requests;
mod whole_answer;

pub use fleet_node::run;
pub use fleet_settings::FleetSettings;
pub use load_shedding::{LoadShedding, ParseLoadSheddingError};
