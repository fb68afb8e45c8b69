//! A backend server that takes calls.

use std::net::SocketAddr;

use crate::ids::{DataCentre, Incarnation, NodeId, Region, VersionName};
use crate::peers::BackendState;

/// A backend server that takes calls, reached through the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The node beside the backend server.
    pub node: NodeId,
    /// The incarnation under which the backend server was announced.
    pub incarnation: Incarnation,
    /// Where that node takes calls.
    pub inbound_addr: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region.
    pub region: Region,
    /// The backend server's version.
    pub version: VersionName,
    /// How many calls it runs at a time; at least 1.
    pub slots: u16,
    /// Its announced state; never [`BackendState::Draining`].
    pub state: BackendState,
}
