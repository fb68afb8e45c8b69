//! A node of a mesh with its backend server.

use super::NodeSettings;
use crate::harness::ProcessId;

/// A node of a mesh with its backend server.
#[derive(Debug, Clone)]
pub struct MeshNode {
    /// The id of the node in its settings, unique within the mesh.
    pub name: String,
    /// The service of the backend server; `spare` if the node has no backend server.
    pub service: String,
    /// The process that runs the node.
    pub node: ProcessId,
    /// The process that runs the backend server, if the node has one.
    pub backend: Option<ProcessId>,
    /// The node's settings, with the addresses on which it listens.
    pub(super) settings: NodeSettings,
}
