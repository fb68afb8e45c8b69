//! How nodes find each other.

use std::net::SocketAddr;

use crate::ids::{DataCentre, NodeId};

/// The entry by which other nodes find a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Where it takes calls of other nodes.
    pub door: SocketAddr,
    /// Where it takes heartbeats.
    pub heartbeats: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}
