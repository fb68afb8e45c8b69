//! The nodes to which a node sends its heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::peer_directory::PeerDirectory;
use super::rotation::Rotation;
use crate::ids::{DataCentre, NodeId};
use crate::peers::Links;
use crate::peers::hash::hash_text;

/// Chooses the nodes to which a node sends its heartbeats.
///
/// In a small fleet these are all, and one at a time is told of the others. In a larger one they are
/// the node's links on the ring of its data centre, whose number grows with the logarithm of the
/// nodes, and for the first few nodes of a ring the first ones of each other ring.
#[derive(Debug)]
pub(super) struct HeartbeatTargets {
    data_centre: DataCentre,
    /// The place of this node on the ring of its data centre.
    place: (u64, NodeId),
    /// The nodes that are told of others in a small fleet.
    told_local_turn: Rotation,
    told_remote_turn: Rotation,
    silent_local_turn: Rotation,
    silent_remote_turn: Rotation,
}

/// Addresses for heartbeats.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    /// Those of nodes that are told of other nodes as well.
    pub(super) linked: Vec<SocketAddr>,
    /// Those of nodes that are told of this node only.
    pub(super) others: Vec<SocketAddr>,
}

impl HeartbeatTargets {
    /// The number of nodes of a data centre that exchange heartbeats with other data centres.
    const GATEWAYS: usize = 4;
    /// The number of silent nodes that are sent a heartbeat at a time: they may have come back.
    const SILENT: usize = 4;
    /// The number of silent nodes while all nodes send each other heartbeats.
    const SILENT_IN_MESH: usize = 32;

    /// Creates the state of the node `own`.
    pub(super) fn new(own: &NodeId, data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            place: (hash_text(own.as_str()), own.clone()),
            told_local_turn: Rotation::after(own.clone()),
            told_remote_turn: Rotation::after(own.clone()),
            silent_local_turn: Rotation::after(own.clone()),
            silent_remote_turn: Rotation::after(own.clone()),
        }
    }

    /// Returns the targets in the same data centre. A regular heartbeat goes to some silent nodes as
    /// well, and in a small fleet it tells one node of the others.
    pub(super) fn local(&mut self, peers: &PeerDirectory, is_regular: bool) -> Addresses {
        let is_mesh = peers.is_mesh();
        let linked: BTreeSet<NodeId> = if peers.has_relays() {
            self.links(peers)
        } else {
            let told = usize::from(is_regular);
            self.told_local_turn.next(&peers.live.local, told).into_iter().collect()
        };
        let mut others = Vec::new();
        if is_mesh {
            others.extend(peers.live.local.iter().chain(&peers.unheard_local).cloned());
        }
        if is_mesh || is_regular {
            let count = if is_mesh { Self::SILENT_IN_MESH } else { Self::SILENT };
            others.extend(self.silent_local_turn.next(&peers.silent_local, count));
        }
        Addresses::of(peers, &linked, &others)
    }

    /// Returns the targets in other data centres, as [`Self::local`] does.
    pub(super) fn remote(&mut self, peers: &PeerDirectory, is_regular: bool) -> Addresses {
        let (is_mesh, is_gateway) = (peers.is_mesh(), self.is_gateway(peers));
        let linked: BTreeSet<NodeId> = if !peers.has_relays() {
            let told = usize::from(is_regular);
            self.told_remote_turn.next(&peers.live.remote, told).into_iter().collect()
        } else if is_gateway {
            self.gateways(peers)
        } else {
            BTreeSet::new()
        };
        let mut others = Vec::new();
        if is_mesh {
            others.extend(peers.live.remote.iter().chain(&peers.unheard_remote).cloned());
        } else if is_gateway {
            others.extend(peers.unheard_remote.iter().take(Self::SILENT).cloned());
        }
        if is_mesh || (is_gateway && is_regular) {
            let count = if is_mesh { Self::SILENT_IN_MESH } else { Self::SILENT };
            others.extend(self.silent_remote_turn.next(&peers.silent_remote, count));
        }
        Addresses::of(peers, &linked, &others)
    }

    /// Returns whether this node exchanges heartbeats with other data centres: it is among the first
    /// on its ring.
    pub(super) fn is_gateway(&self, peers: &PeerDirectory) -> bool {
        let ring = peers.live.rings.get(&self.data_centre);
        let before = ring.map_or(0, |ring| ring.range(..&self.place).take(Self::GATEWAYS).count());
        before < Self::GATEWAYS
    }

    /// Returns the first nodes on the rings of the other data centres.
    fn gateways(&self, peers: &PeerDirectory) -> BTreeSet<NodeId> {
        let rings = peers.live.rings.iter().filter(|(other, _)| **other != self.data_centre);
        let first = rings.flat_map(|(_, ring)| ring.iter().take(Self::GATEWAYS));
        first.map(|(_, node)| node.clone()).collect()
    }

    /// Returns the links of this node on the ring of its data centre.
    fn links(&self, peers: &PeerDirectory) -> BTreeSet<NodeId> {
        let live = peers.live.rings.get(&self.data_centre);
        let unheard = peers.unheard_local.iter().filter_map(|node| peers.get(node));
        let mut ring: Vec<(u64, &NodeId)> = live
            .into_iter()
            .flatten()
            .map(|(position, node)| (*position, node))
            .chain(unheard.map(|peer| (peer.position, peer.node())))
            .chain([(self.place.0, &self.place.1)])
            .collect();
        ring.sort_unstable();
        let nodes: Vec<&NodeId> = ring.iter().map(|(_, node)| *node).collect();
        let own = nodes.iter().position(|node| **node == self.place.1).unwrap_or_default();
        Links::of(&nodes, own).both().into_iter().collect()
    }
}

impl Addresses {
    fn of(peers: &PeerDirectory, linked: &BTreeSet<NodeId>, others: &[NodeId]) -> Self {
        let address = |node: &NodeId| peers.get(node).map(|peer| peer.entry.heartbeats);
        let others = others.iter().filter(|node| !linked.contains(*node));
        Self {
            linked: linked.iter().filter_map(address).collect(),
            others: others.filter_map(address).collect(),
        }
    }
}
