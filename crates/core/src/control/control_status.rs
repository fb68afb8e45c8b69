//! Summary of a node's control state for operators.

use crate::ids::{ConfigVersion, NodeId};
use crate::store::ReaderRole;

/// Summary of a node's control state for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlStatus {
    /// Id of the node that reports this status.
    pub node: NodeId,
    /// Configuration version held; zero while none is held.
    pub held: ConfigVersion,
    /// Configuration version published to traffic, at most `held`; zero while none is
    /// published.
    pub published: ConfigVersion,
    /// Lowest configuration version that the node may publish to traffic.
    pub floor: ConfigVersion,
    /// Whether the version floor is final. Until then, nothing is published.
    pub is_floor_settled: bool,
    /// Whether a join request was answered since the node started.
    pub is_joined: bool,
    /// Whether most pings fail, so that the node is in self-preservation and declares no other
    /// node dead.
    pub is_self_preserving: bool,
    /// Reason for which the node reads the store, if it does.
    pub reader: ReaderRole,
    /// Whether the store failed to answer the node's last read or watch.
    pub is_store_lost: bool,
    /// Whether the node was asked to stop and has announced that it leaves.
    pub is_leaving: bool,
    /// Number of submissions and outcome queries that the store writer has not finished.
    pub submissions: usize,
    /// Number of stop marks that are in force here and not yet part of a configuration.
    pub pending_stops: usize,
    /// Number of nodes that this node pings and pushes changes to.
    pub links: usize,
}
