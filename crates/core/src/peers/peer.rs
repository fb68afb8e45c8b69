//! The entry of a node.

use std::net::SocketAddr;

use crate::ids::{DataCentre, HostName, Incarnation, NodeId, Region};
use crate::peers::{AnnouncedBackend, PeerStatus};

/// The entry of a node in the peer table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub id: NodeId,
    /// The host on which it runs.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The data centre's region.
    pub region: Region,
    /// Where it takes messages of other nodes.
    pub peer_addr: SocketAddr,
    /// Where it takes calls for the backend server beside it.
    pub inbound_addr: SocketAddr,
    /// Raised by the node itself alone, with each change of this entry but the status.
    pub incarnation: Incarnation,
    /// The node's status. Others may change it to suspected or dead.
    pub status: PeerStatus,
    /// The backend server beside it, while one is announced.
    pub backend: Option<AnnouncedBackend>,
}

impl Peer {
    /// Whether this entry replaces `other`, an entry of the same node.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
