//! What a node holds, in a few digests.

use crate::ids::{ConfigVersion, Digest, Incarnation, NodeId};

/// What a node holds, sent with each heartbeat so that differences are found and repaired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncStatus {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The version of its configuration in force; zero for none.
    pub config_version: ConfigVersion,
    /// The digest of that configuration.
    pub config_digest: Option<Digest>,
    /// The digest of its peer table.
    pub table_digest: u64,
    /// The digest of its stop marks.
    pub stops_digest: u64,
}
