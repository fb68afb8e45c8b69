//! The answering node's knowledge of one node.

use crate::ids::ConfigVersion;
use crate::peers::Peer;

/// The answering node's knowledge of one node, as input to
/// [`QueryContext`](crate::operators::QueryContext).
#[derive(Debug, Clone, Copy)]
pub struct KnownNode<'a> {
    /// The node's entry in the peer table.
    pub peer: &'a Peer,
    /// The configuration version in force on the node by its last report; `None` before the first.
    pub applied: Option<ConfigVersion>,
}
