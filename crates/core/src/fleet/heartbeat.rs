//! The message that nodes send each other.

use crate::fleet::{BackendStatus, Departure, NodeEntry, RolloutReport};
use crate::ids::{ConfigVersion, Incarnation};

/// What a node sends to all others, regularly and after each change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The node and its addresses.
    pub entry: NodeEntry,
    /// Its start.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of one start.
    pub sequence: u64,
    /// The version of the configuration in force; zero if there is none.
    pub config_version: ConfigVersion,
    /// Whether the store answered its last request.
    pub is_store_reached: bool,
    /// Whether it stops.
    pub is_leaving: bool,
    /// The backend server beside it.
    pub backend: Option<BackendStatus>,
    /// Backend servers that have left.
    pub departures: Vec<Departure>,
    /// The rollouts that it knows.
    pub rollouts: Vec<RolloutReport>,
}
