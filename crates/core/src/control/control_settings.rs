//! The settings of the control state.

use std::fmt;
use std::net::SocketAddr;

use crate::ids::{DataCentre, HostName, Incarnation, NodeId, Region};
use crate::peers::{Peer, PeerStatus};
use crate::units::UnixMillis;

/// The settings of the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// This node.
    pub node: NodeId,
    /// The host on which it runs.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The data centre's region.
    pub region: Region,
    /// Where this node takes messages of other nodes.
    pub peer_addr: SocketAddr,
    /// Where it takes calls for the backend server beside it.
    pub door_addr: SocketAddr,
    /// The nodes to join through, without this node's own address.
    pub seeds: Vec<SocketAddr>,
}

impl ControlSettings {
    /// A builder without any setting.
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
    ///     .door_addr("127.0.0.1:7002".parse()?)
    ///     .seed("127.0.0.1:7003".parse()?)
    ///     .build()?;
    /// assert_eq!(settings.seeds.len(), 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn builder() -> ControlSettingsBuilder {
        ControlSettingsBuilder::default()
    }

    /// The entry of this node when it starts at the time `wall`.
    pub(crate) fn entry(&self, wall: UnixMillis) -> Peer {
        Peer {
            id: self.node.clone(),
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            peer_addr: self.peer_addr,
            door_addr: self.door_addr,
            incarnation: Incarnation::new(wall.get()),
            status: PeerStatus::Alive,
            backend: None,
        }
    }
}

/// Builds [`ControlSettings`]; all but the seeds are required.
#[derive(Debug, Clone, Default)]
pub struct ControlSettingsBuilder {
    node: Option<NodeId>,
    host: Option<HostName>,
    data_centre: Option<DataCentre>,
    region: Option<Region>,
    peer_addr: Option<SocketAddr>,
    door_addr: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
}

impl ControlSettingsBuilder {
    /// Sets the node's id.
    #[must_use]
    pub fn node(mut self, node: NodeId) -> Self {
        self.node = Some(node);
        self
    }

    /// Sets the host.
    #[must_use]
    pub fn host(mut self, host: HostName) -> Self {
        self.host = Some(host);
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Sets the region.
    #[must_use]
    pub fn region(mut self, region: Region) -> Self {
        self.region = Some(region);
        self
    }

    /// Sets the address for messages of other nodes.
    #[must_use]
    pub fn peer_addr(mut self, addr: SocketAddr) -> Self {
        self.peer_addr = Some(addr);
        self
    }

    /// Sets the address for calls.
    #[must_use]
    pub fn door_addr(mut self, addr: SocketAddr) -> Self {
        self.door_addr = Some(addr);
        self
    }

    /// Adds a node to join through.
    #[must_use]
    pub fn seed(mut self, addr: SocketAddr) -> Self {
        self.seeds.push(addr);
        self
    }

    /// The settings, or the name of a required one that was not set.
    pub fn build(self) -> Result<ControlSettings, MissingSetting> {
        let peer_addr = self.peer_addr.ok_or(MissingSetting("peer_addr"))?;
        Ok(ControlSettings {
            node: self.node.ok_or(MissingSetting("node"))?,
            host: self.host.ok_or(MissingSetting("host"))?,
            data_centre: self.data_centre.ok_or(MissingSetting("data_centre"))?,
            region: self.region.ok_or(MissingSetting("region"))?,
            peer_addr,
            door_addr: self.door_addr.ok_or(MissingSetting("door_addr"))?,
            seeds: self.seeds.into_iter().filter(|seed| *seed != peer_addr).collect(),
        })
    }
}

/// A required setting that was not set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingSetting(&'static str);

impl fmt::Display for MissingSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the setting {} is missing", self.0)
    }
}

impl std::error::Error for MissingSetting {}
