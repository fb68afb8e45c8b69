//! The announced properties of a backend server that takes calls.

use std::net::SocketAddr;

use crate::ids::{DataCentre, Incarnation, NodeId, Region, VersionName};
use crate::peers::BackendState;

/// A backend server that takes calls, reached through the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The node beside the backend server, which forwards calls to it.
    pub node: NodeId,
    /// The incarnation under which the backend server was announced.
    pub incarnation: Incarnation,
    /// The address at which that node accepts calls from other nodes.
    pub inbound_addr: SocketAddr,
    /// The data centre of the backend server and its node.
    pub data_centre: DataCentre,
    /// The region of the backend server and its node.
    pub region: Region,
    /// The announced version of the backend server.
    pub version: VersionName,
    /// The number of calls that the backend server runs at a time; at least 1.
    pub slots: u16,
    /// The announced state of the backend server; never [`BackendState::Draining`].
    pub state: BackendState,
}
