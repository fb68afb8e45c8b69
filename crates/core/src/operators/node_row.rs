//! A node in the answer to an operator.

use crate::ids::ConfigVersion;
use crate::peers::Peer;

/// A node and how far it is behind the newest configuration that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRow {
    /// The node's entry.
    pub peer: Peer,
    /// The version in force there, as last heard; `None` if it was never heard.
    pub applied: Option<ConfigVersion>,
    /// The number of versions by which `applied` is behind; `None` if that is unknown.
    pub behind: Option<u64>,
}

impl NodeRow {
    /// Whether the node is known to be behind.
    pub fn is_lagging(&self) -> bool {
        self.behind.is_some_and(|n| n > 0)
    }
}
