//! A backend server as it announced itself.

use crate::ids::{ServiceName, VersionName};
use crate::peers::BackendState;

/// A backend server as it announced itself to the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedBackend {
    /// The service that it provides.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// How many calls it runs at a time; at least 1.
    pub slots: u16,
    /// How many connections it accepts; at least 1.
    pub connections: u16,
    /// Its state.
    pub state: BackendState,
}
