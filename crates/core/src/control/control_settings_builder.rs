//! Builder of the settings of the control state.

use std::net::SocketAddr;

use crate::control::{ControlSettings, MissingSetting};
use crate::ids::{DataCentre, HostName, NodeId, Region};

/// Builds [`ControlSettings`]. Every setting except the seeds is required.
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
    /// Sets the id of this node, unique in the installation.
    #[must_use]
    pub fn node(mut self, node: NodeId) -> Self {
        self.node = Some(node);
        self
    }

    /// Sets the host on which this node runs.
    #[must_use]
    pub fn host(mut self, host: HostName) -> Self {
        self.host = Some(host);
        self
    }

    /// Sets the data centre of this node's host.
    #[must_use]
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Sets the region of this node's data centre.
    #[must_use]
    pub fn region(mut self, region: Region) -> Self {
        self.region = Some(region);
        self
    }

    /// Sets the address at which this node takes messages of other nodes.
    #[must_use]
    pub fn peer_addr(mut self, addr: SocketAddr) -> Self {
        self.peer_addr = Some(addr);
        self
    }

    /// Sets the address at which this node takes calls for its backend server.
    #[must_use]
    pub fn inbound_addr(mut self, addr: SocketAddr) -> Self {
        self.inbound_addr = Some(addr);
        self
    }

    /// Adds the address of a node to join through. This node's own address is ignored.
    #[must_use]
    pub fn seed(mut self, addr: SocketAddr) -> Self {
        self.seeds.push(addr);
        self
    }

    /// Returns the settings, or the name of the first required one that is not set.
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
