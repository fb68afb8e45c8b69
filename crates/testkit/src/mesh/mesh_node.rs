//! A node and the backend server beside it.

use super::NodeSettings;
use crate::harness::ProcessId;

/// A node and the backend server beside it.
#[derive(Debug, Clone)]
pub struct MeshNode {
    /// The node's id.
    pub name: String,
    /// The service of the backend server.
    pub service: String,
    /// The process of the node.
    pub node: ProcessId,
    /// The process of the backend server, if the mesh has any.
    pub backend: Option<ProcessId>,
    /// The node's settings, with the addresses that it bound.
    pub(super) settings: NodeSettings,
}
