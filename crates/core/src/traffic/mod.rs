//! The decisions on the path of a call.

mod endpoint;
mod snapshot;
mod traffic_split;

pub use endpoint::Endpoint;
pub use snapshot::{ServiceView, Snapshot, SnapshotInput};
pub use traffic_split::TrafficSplit;
