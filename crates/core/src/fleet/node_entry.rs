//! How nodes find each other.

use std::net::SocketAddr;

use crate::fleet::Departure;
use crate::ids::{DataCentre, NodeId};

/// The entry by which other nodes find a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Where it takes calls of other nodes.
    pub inbound: SocketAddr,
    /// Where it takes heartbeats.
    pub heartbeats: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The last backend server that left beside it. A later start of the node reads it.
    pub departed: Option<Departure>,
}
