//! The state of a backend server as nodes share it.

use crate::ids::{BackendId, ServiceName, VersionName};
use crate::units::UnixMillis;

/// The backend server beside a node, as heartbeats describe it to other nodes. Present only while
/// the server takes calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatus {
    /// The id that the server announced.
    pub id: BackendId,
    /// When the server started, by its own announcement.
    pub started_at: UnixMillis,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The version of the server's software, by which rollouts shift calls.
    pub version: VersionName,
    /// The number of calls that the server runs at a time.
    pub slots: u32,
    /// Whether the server still runs slowly after its start.
    pub is_cold: bool,
}
