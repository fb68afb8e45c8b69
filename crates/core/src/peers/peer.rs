//! Entries of the peer table.

use std::net::SocketAddr;

use crate::ids::{DataCentre, HostName, Incarnation, NodeId, Region};
use crate::peers::{AnnouncedBackend, PeerStatus};

/// Entry of a node in the peer table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Id of the node, unique in the installation.
    pub id: NodeId,
    /// Host on which the node runs.
    pub host: HostName,
    /// Data centre of the node's host.
    pub data_centre: DataCentre,
    /// Region of the node's data centre.
    pub region: Region,
    /// Address at which the node takes messages of other nodes.
    pub peer_addr: SocketAddr,
    /// Address at which the node takes calls for the backend server beside it.
    pub inbound_addr: SocketAddr,
    /// Incarnation of the entry. Only the node itself raises it, with each change of its entry
    /// and when it refutes a suspicion. Others change only the status.
    pub incarnation: Incarnation,
    /// Status of the node. Other nodes may change it to suspected or dead.
    pub status: PeerStatus,
    /// Backend server beside the node; `None` while none is announced.
    pub backend: Option<AnnouncedBackend>,
}

impl Peer {
    /// Returns whether this entry replaces `other`, an entry of the same node.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
