//! Settings of the control state.

use std::net::SocketAddr;

use crate::control::ControlSettingsBuilder;
use crate::ids::{DataCentre, HostName, Incarnation, NodeId, Region};
use crate::peers::{Peer, PeerStatus};
use crate::units::UnixMillis;

/// Identity, location and addresses of a node, and the nodes through which it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Id of this node, unique in the installation and kept across restarts.
    pub node: NodeId,
    /// Host on which this node runs.
    pub host: HostName,
    /// Data centre of this node's host.
    pub data_centre: DataCentre,
    /// Region of this node's data centre.
    pub region: Region,
    /// Address at which this node takes messages of other nodes.
    pub peer_addr: SocketAddr,
    /// Address at which this node takes calls for the backend server beside it.
    pub inbound_addr: SocketAddr,
    /// Addresses of the nodes to join through, without this node's own address.
    pub seeds: Vec<SocketAddr>,
}

impl ControlSettings {
    /// Returns a builder in which nothing is set.
    ///
    /// ```
    /// use almondsail_core::control::ControlSettings;
    ///
    /// let settings = ControlSettings::builder()
    ///     .node("n1".parse()?)
    ///     .host("h1".parse()?)
    ///     .data_centre("dc1".parse()?)
    ///     .region("r1".parse()?)
    ///     .peer_addr("127.0.0.1:7001".parse()?)
    ///     .inbound_addr("127.0.0.1:7002".parse()?)
    ///     .seed("127.0.0.1:7003".parse()?)
    ///     .build()?;
    /// assert_eq!(settings.seeds.len(), 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn builder() -> ControlSettingsBuilder {
        ControlSettingsBuilder::default()
    }

    /// Returns the peer table entry of this node when it starts at the time `wall`, which
    /// becomes its incarnation.
    pub(crate) fn entry(&self, wall: UnixMillis) -> Peer {
        Peer {
            id: self.node.clone(),
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            peer_addr: self.peer_addr,
            inbound_addr: self.inbound_addr,
            incarnation: Incarnation::new(wall.get()),
            status: PeerStatus::Alive,
            backend: None,
        }
    }
}
