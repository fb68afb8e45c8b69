//! What is known of one node.

use crate::ids::ConfigVersion;
use crate::peers::Peer;

/// What is known of one node.
#[derive(Debug, Clone, Copy)]
pub struct NodeView<'a> {
    /// The node's entry.
    pub peer: &'a Peer,
    /// The version in force there, as last heard.
    pub applied: Option<ConfigVersion>,
}
