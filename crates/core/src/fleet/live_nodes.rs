//! Indexes of the other nodes that are live.

use std::collections::{BTreeMap, BTreeSet};

use super::peer::Peer;
use crate::ids::{ConfigVersion, DataCentre, NodeId};

/// The other nodes that were heard of lately, indexed by what decisions ask for, so that no decision
/// looks at every node.
#[derive(Debug, Default)]
pub(super) struct LiveNodes {
    pub(super) ids: BTreeSet<NodeId>,
    pub(super) local: BTreeSet<NodeId>,
    pub(super) remote: BTreeSet<NodeId>,
    /// The nodes that don't leave, in the order in which they lead.
    pub(super) ranked: BTreeSet<Rank>,
    /// Those of `ranked` in the same data centre as this node.
    pub(super) local_ranked: BTreeSet<Rank>,
    pub(super) by_version: BTreeSet<(ConfigVersion, NodeId)>,
    /// The nodes of each data centre by their positions on its ring.
    pub(super) rings: BTreeMap<DataCentre, BTreeSet<(u64, NodeId)>>,
}

/// The place of a node in the order in which nodes take over work: those that reach the store come
/// first, by id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    is_store_unreached: bool,
    node: NodeId,
}

impl Rank {
    pub(super) const fn new(is_store_reached: bool, node: NodeId) -> Self {
        Self { is_store_unreached: !is_store_reached, node }
    }

    pub(super) const fn is_store_reached(&self) -> bool {
        !self.is_store_unreached
    }

    pub(super) const fn node(&self) -> &NodeId {
        &self.node
    }
}

impl LiveNodes {
    pub(super) fn insert(&mut self, peer: &Peer) {
        let Some(heartbeat) = &peer.heartbeat else { return };
        let node = peer.node();
        self.ids.insert(node.clone());
        let of_side = if peer.is_local { &mut self.local } else { &mut self.remote };
        of_side.insert(node.clone());
        if !heartbeat.is_leaving {
            let rank = Rank::new(heartbeat.is_store_reached, node.clone());
            if peer.is_local {
                self.local_ranked.insert(rank.clone());
            }
            self.ranked.insert(rank);
        }
        self.by_version.insert((heartbeat.config_version, node.clone()));
        let ring = self.rings.entry(peer.entry.data_centre.clone()).or_default();
        ring.insert((peer.position, node.clone()));
    }

    /// Removes a node that was inserted in the same state.
    pub(super) fn remove(&mut self, peer: &Peer) {
        let Some(heartbeat) = &peer.heartbeat else { return };
        let node = peer.node();
        self.ids.remove(node);
        self.local.remove(node);
        self.remote.remove(node);
        let rank = Rank::new(heartbeat.is_store_reached, node.clone());
        self.ranked.remove(&rank);
        self.local_ranked.remove(&rank);
        self.by_version.remove(&(heartbeat.config_version, node.clone()));
        if let Some(ring) = self.rings.get_mut(&peer.entry.data_centre) {
            ring.remove(&(peer.position, node.clone()));
            if ring.is_empty() {
                self.rings.remove(&peer.entry.data_centre);
            }
        }
    }
}
