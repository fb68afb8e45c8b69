//! The identity of a node of a fleet.

use std::net::SocketAddr;

use crate::fleet::NodeEntry;
use crate::ids::{Incarnation, ServiceName};

/// Identifies a node, its present start and the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetIdentity {
    /// The id and addresses of the node, which other nodes are given.
    pub entry: NodeEntry,
    /// Distinguishes this start of the node from earlier ones.
    pub incarnation: Incarnation,
    /// The service of the backend server beside the node, from the settings.
    pub service: ServiceName,
    /// The address at which the backend server beside the node takes calls.
    pub backend: SocketAddr,
}
