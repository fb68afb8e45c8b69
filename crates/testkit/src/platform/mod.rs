//! Test doubles of the users' platform: a metadata store, a worker and a fleet of nodes.

mod fleet;
mod kv_server;
mod kv_state;
mod worker;

pub use fleet::{Fleet, FleetNode};
pub use kv_server::{KvMode, KvServer};
pub use kv_state::KvState;
pub use worker::{Worker, WorkerFault, WorkerOptions};
