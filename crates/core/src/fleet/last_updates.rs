//! When the parts of a node's state were last updated.

use crate::fleet::StoreRole;
use crate::ids::ConfigVersion;
use crate::units::Instant;

/// When the parts of a node's state were last updated.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LastUpdates {
    /// The version of the configuration in force; zero if there is none.
    pub config_version: ConfigVersion,
    /// When the configuration came into force; `None` if there is none.
    pub config: Option<Instant>,
    /// When the store last answered a request; `None` if it never did.
    pub store: Option<Instant>,
    /// When the pending watch of the operator's keys was sent; `None` if none is pending.
    pub watch: Option<Instant>,
    /// When the store last confirmed that the operator's keys are known completely, to any node;
    /// `None` before the first time.
    pub confirmed: Option<Instant>,
    /// What the node does to follow the operator's keys.
    pub store_role: StoreRole,
    /// The number of other nodes that sent a heartbeat recently.
    pub peers: usize,
    /// When the live node that has been silent for longest last sent a heartbeat; `None` without
    /// live nodes.
    pub oldest_peer: Option<Instant>,
}
