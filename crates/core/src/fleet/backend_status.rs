//! What nodes know of a backend server.

use crate::ids::{BackendId, ServiceName, VersionName};
use crate::units::UnixMillis;

/// What a node sends to others about the backend server beside it, which takes calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatus {
    /// Its id.
    pub id: BackendId,
    /// When it started.
    pub started_at: UnixMillis,
    /// Its service.
    pub service: ServiceName,
    /// The version of its software.
    pub version: VersionName,
    /// How many calls it runs at a time.
    pub slots: u32,
    /// Whether it still runs slowly after its start.
    pub is_cold: bool,
}
