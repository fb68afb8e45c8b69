//! Changes of the control state that are logged and counted.

use crate::ids::{ConfigVersion, NodeId};
use crate::peers::PeerStatus;
use crate::rollout::Notice;

/// A change of the control state, or a refusal, that is logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A join request of this node was answered for the first time.
    Joined,
    /// A configuration version was published to this node's traffic.
    ConfigApplied(ConfigVersion),
    /// A configuration was refused because it is invalid or its digest is wrong.
    ConfigInvalid(ConfigVersion),
    /// A configuration was refused because it is older than the one in force.
    ConfigOlder(ConfigVersion),
    /// The store's value can't be read as a configuration.
    StoreValueCorrupt,
    /// The store stopped answering.
    StoreLost,
    /// The store answers again.
    StoreRegained,
    /// This node became a reader of the store.
    ReaderStarted,
    /// This node is no longer a reader of the store.
    ReaderStopped,
    /// The status of a peer changed.
    PeerStatusChanged(NodeId, PeerStatus),
    /// This node refuted a suspicion against itself.
    SuspicionRefuted,
    /// Self-preservation began (`true`) or ended (`false`). While most of its pings fail, this
    /// node declares no other node dead.
    SelfPreservation(bool),
    /// The backend server beside this node is announced.
    BackendUp,
    /// The backend server beside this node is no longer announced.
    BackendDown,
    /// A peer's request for a snapshot was refused because the rate limit was reached.
    SnapshotRefused,
    /// This node, as the driver of a rollout, has a notice for the operators.
    RolloutNotice(Notice),
    /// This node lacks the configuration version that it is known to have held, which is its
    /// version floor.
    FloorUnmet(ConfigVersion),
}
