//! When the parts of a node's state were last updated.

use crate::ids::ConfigVersion;
use crate::units::Instant;

/// When the parts of a node's state were last updated.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LastUpdates {
    /// The version of the configuration in force; zero if there is none.
    pub config_version: ConfigVersion,
    /// When it came into force.
    pub config: Option<Instant>,
    /// When the store last answered.
    pub store: Option<Instant>,
    /// The other nodes that sent a heartbeat lately.
    pub peers: usize,
    /// When the least recent of their last heartbeats came.
    pub oldest_peer: Option<Instant>,
}
