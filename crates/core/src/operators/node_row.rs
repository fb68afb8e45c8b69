//! A node in the answer to a query.

use crate::ids::ConfigVersion;
use crate::peers::Peer;

/// A node, and by how much its configuration is behind the newest known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRow {
    /// The node's entry in the peer table of the answering node.
    pub peer: Peer,
    /// The configuration version in force on the node by its last report; `None` before the first.
    pub applied: Option<ConfigVersion>,
    /// The number of versions by which `applied` is behind the newest; `None` if unknown.
    pub behind: Option<u64>,
}

impl NodeRow {
    /// Returns whether the node is known to be behind the newest configuration.
    pub fn is_lagging(&self) -> bool {
        self.behind.is_some_and(|n| n > 0)
    }
}
