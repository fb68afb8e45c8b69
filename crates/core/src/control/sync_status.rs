//! Digests of the state that a node holds.

use crate::ids::{ConfigVersion, Digest, Incarnation, NodeId};

/// Versions and digests of the state that a node holds, sent with each heartbeat so that
/// differences are found and repaired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncStatus {
    /// Id of the node that sends this status.
    pub node: NodeId,
    /// Incarnation of the node's entry in its own peer table.
    pub incarnation: Incarnation,
    /// Version of the configuration that the node holds; zero while it holds none.
    pub config_version: ConfigVersion,
    /// Digest of the configuration that the node holds; `None` while it holds none.
    pub config_digest: Option<Digest>,
    /// Digest of the node's peer table without dead entries.
    pub table_digest: u64,
    /// Digest of the stop marks that are in force but in no configuration that the node holds.
    pub stops_digest: u64,
}
