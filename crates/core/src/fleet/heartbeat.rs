//! The message that nodes send each other.

use crate::fleet::{BackendStatus, Departure, NodeEntry, RolloutReport};
use crate::ids::{ConfigVersion, Incarnation};

/// The message that a node sends to all others, at intervals and after each change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The id and addresses of the sender.
    pub entry: NodeEntry,
    /// Distinguishes this start of the sender from earlier ones.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of one start of the sender.
    pub sequence: u64,
    /// The version of the sender's configuration in force; zero if there is none.
    pub config_version: ConfigVersion,
    /// Whether the store answered the sender's last request.
    pub is_store_reached: bool,
    /// Whether the sender is about to stop.
    pub is_leaving: bool,
    /// The backend server beside the sender; `None` while none takes calls.
    pub backend: Option<BackendStatus>,
    /// Backend servers that have left, as far as the sender reports them.
    pub departures: Vec<Departure>,
    /// The state of the rollouts that the sender knows.
    pub rollouts: Vec<RolloutReport>,
}
