//! What operators see of a node's control state.

use crate::ids::{ConfigVersion, NodeId};
use crate::store::ReaderRole;

/// What operators see of a node's control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlStatus {
    /// The node.
    pub node: NodeId,
    /// The configuration version held; zero for none.
    pub held: ConfigVersion,
    /// The configuration version published to traffic; zero for none. At most `held`.
    pub published: ConfigVersion,
    /// The lowest version that the node may publish.
    pub floor: ConfigVersion,
    /// Whether the floor is known.
    pub is_floor_settled: bool,
    /// Whether another node answered since the start.
    pub is_joined: bool,
    /// Whether most pings fail, so that the node preserves its membership table and declares nobody
    /// dead.
    pub is_self_preserving: bool,
    /// Why the node reads the store.
    pub reader: ReaderRole,
    /// Whether the last request of the reader to the store failed.
    pub is_store_lost: bool,
    /// Whether the node leaves.
    pub is_leaving: bool,
    /// Number of submissions in hand.
    pub submissions: usize,
    /// Number of stop marks that no configuration holds yet.
    pub pending_stops: usize,
    /// Number of links.
    pub links: usize,
}
