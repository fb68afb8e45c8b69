//! The entry by which other nodes find a node.

use std::net::SocketAddr;

use crate::fleet::Departure;
use crate::ids::{DataCentre, NodeId};

/// The entry in the store and in heartbeats by which other nodes find a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEntry {
    /// The id of the node.
    pub node: NodeId,
    /// The address at which the node takes calls of other nodes.
    pub inbound: SocketAddr,
    /// The address at which the node receives heartbeats.
    pub heartbeats: SocketAddr,
    /// The data centre that the node runs in.
    pub data_centre: DataCentre,
    /// The last backend server that left beside the node, in entries that earlier builds wrote.
    pub departed: Option<Departure>,
}
