//! Test doubles of the users' platform: a metadata store, a worker and a fleet of nodes.

mod config_document;
mod fleet;
mod kv_server;
mod kv_state;
mod raw_node;
mod raw_request;
mod raw_step;
mod raw_worker;
mod worker;
mod worker_announcements;

pub use config_document::ConfigDocument;
pub use fleet::{Fleet, FleetNode};
pub use kv_server::{KvMode, KvServer};
pub use kv_state::KvState;
pub use raw_request::RawRequest;
pub use raw_step::{LateBytes, RawStep};
pub use raw_worker::RawWorker;
pub use worker::{ExecutedRequest, Worker, WorkerFault, WorkerOptions};
