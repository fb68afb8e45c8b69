//! A node of a fleet: its configuration and rollouts come from an outside store.
//!
//! Layers, each using only those below it:
//!
//! 1. `fleet_node` puts the parts together and stops them.
//! 2. `control_loop` owns the control state; `local_api` takes announcements;
//!    `caller_handler` and `inbound_handler` answer requests.
//! 3. `inbound` runs calls at the backend server, `endpoint_client` sends them to other nodes,
//!    `slot_queue` makes them wait.
//! 4. `http1` reads requests and writes answers; `store_caller` and `heartbeat_link` carry
//!    the control state's messages.

mod call_failure;
mod call_metrics;
mod caller_handler;
mod config_source;
mod control_http_client;
mod control_loop;
mod endpoint_client;
mod event_log;
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
mod local_api;
mod queue_slot;
mod reported_load;
mod slot_queue;
mod stop_phase;
mod traffic;
mod whole_answer;

pub use fleet_node::run;
pub use fleet_settings::FleetSettings;
