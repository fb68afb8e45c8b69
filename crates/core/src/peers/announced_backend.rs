//! Announcement of a backend server.

use crate::ids::{ServiceName, VersionName};
use crate::peers::BackendState;

/// A backend server as it announced itself to the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedBackend {
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Version of the service that the backend server runs.
    pub version: VersionName,
    /// Number of calls that the backend server runs concurrently; at least 1.
    pub slots: u16,
    /// Number of connections that the backend server accepts; at least 1.
    pub connections: u16,
    /// Whether the backend server takes calls, as it reported itself.
    pub state: BackendState,
}
