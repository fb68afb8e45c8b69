//! The snapshot of a node's state by which calls are handled.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet::{
    BackendStatus, BackendWarmth, ColdRule, MeshConfig, ServiceEndpoints, TrafficRamp,
};
use crate::ids::{DataCentre, NodeId, ServiceName};

/// A snapshot of a node's state by which calls are handled. Each call reads one snapshot.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// The id of this node.
    pub node: NodeId,
    /// The data centre that this node runs in.
    pub data_centre: DataCentre,
    /// The configuration in force; `None` while the node can't serve.
    pub config: Option<Arc<MeshConfig>>,
    /// Whether another node has a newer configuration, which may have routes that `config` lacks.
    pub is_outdated: bool,
    /// The endpoints of each service that has any.
    pub services: HashMap<ServiceName, ServiceEndpoints>,
    /// The backend server beside this node; `None` while none takes calls.
    pub backend: Option<BackendStatus>,
    /// What is known of the warmth of that server; `None` without one.
    pub warmth: Option<BackendWarmth>,
    /// Whether the calls of that server are limited while it is cold.
    pub cold_rule: ColdRule,
    /// The share of its calls that the data centre of this node may take.
    pub ramp: TrafficRamp,
    /// Whether this node is about to stop.
    pub is_leaving: bool,
    /// The number of nodes that share the retry budget, this one included.
    pub nodes: u32,
    /// Whether this node counts calls as evidence, because a rollout of its service runs.
    pub wants_evidence: bool,
}

impl FleetView {
    /// Returns the number of endpoints, of all services, whose nodes were heard lately.
    pub fn reachable_endpoints(&self) -> usize {
        let endpoints = self.services.values().flat_map(|service| &service.endpoints);
        endpoints.filter(|endpoint| !endpoint.is_silent).count()
    }
}
