//! Configuration in force and its synchronisation between nodes.

mod config_sync;
mod floor_gate;
mod kept_versions;
mod offer;
mod peer_version;
mod peer_versions;
mod puller;

pub use config_sync::{ConfigSync, SNAPSHOTS_PER_SECOND};
pub use floor_gate::FloorGate;
pub use kept_versions::KeptVersions;
pub use offer::Offer;
pub use peer_version::PeerVersion;
pub use peer_versions::PeerVersions;
pub use puller::Puller;
