//! The state of a node that calls are handled by.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet::{BackendStatus, MeshConfig, ServiceEndpoints};
use crate::ids::{DataCentre, NodeId, ServiceName};

/// The state of a node that calls are handled by at one moment. Each call reads one view.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// This node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The configuration in force.
    pub config: Option<Arc<MeshConfig>>,
    /// The endpoints of each service that has any.
    pub services: HashMap<ServiceName, ServiceEndpoints>,
    /// The backend server beside this node.
    pub backend: Option<BackendStatus>,
    /// Whether this node stops.
    pub is_leaving: bool,
    /// The number of nodes that share the retry budget, this one included.
    pub nodes: u32,
    /// Whether the evidence of this node is wanted: a rollout of its service runs.
    pub wants_evidence: bool,
}
