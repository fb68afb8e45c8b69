//! The builder of the settings of the control state.

use std::net::SocketAddr;

use crate::control::{ControlSettings, MissingSetting};
use crate::ids::{DataCentre, HostName, NodeId, Region};

/// Builds [`ControlSettings`]; all but the seeds are required.
#[derive(Debug, Clone, Default)]
pub struct ControlSettingsBuilder {
    node: Option<NodeId>,
    host: Option<HostName>,
    data_centre: Option<DataCentre>,
    region: Option<Region>,
    peer_addr: Option<SocketAddr>,
    inbound_addr: Option<SocketAddr>,
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
    pub fn inbound_addr(mut self, addr: SocketAddr) -> Self {
        self.inbound_addr = Some(addr);
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
            inbound_addr: self.inbound_addr.ok_or(MissingSetting("inbound_addr"))?,
            seeds: self.seeds.into_iter().filter(|seed| *seed != peer_addr).collect(),
        })
    }
}
