//! A directory of the other nodes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use super::live_nodes::{LiveNodes, Rank};
use super::peer::{Liveness, Peer};
use crate::fleet::{Heartbeat, LatestHeartbeat, NodeEntry, NodeKey};
use crate::ids::{ConfigVersion, DataCentre, NodeId};
use crate::units::{Instant, Millis};

/// The other nodes, as their heartbeats and store entries describe them.
///
/// No operation but [`Self::iter`] looks at all nodes, so that an event costs about the same in a
/// small and in a large fleet.
#[derive(Debug)]
pub struct PeerDirectory {
    data_centre: DataCentre,
    peers: BTreeMap<NodeId, Peer>,
    /// The nodes by the address at which they take calls.
    by_inbound: HashMap<SocketAddr, NodeId>,
    by_key: HashMap<NodeKey, NodeId>,
    pub(super) live: LiveNodes,
    /// The nodes of the same data centre that are in the state `Unheard`.
    pub(super) unheard_local: BTreeSet<NodeId>,
    /// The nodes of other data centres that are in the state `Unheard`.
    pub(super) unheard_remote: BTreeSet<NodeId>,
    /// The nodes of the same data centre that are in the state `Silent`.
    pub(super) silent_local: BTreeSet<NodeId>,
    /// The nodes of other data centres that are in the state `Silent`.
    pub(super) silent_remote: BTreeSet<NodeId>,
    /// When the liveness of each node is checked next.
    checks: BTreeSet<(Instant, NodeId)>,
    /// Whether nodes became live or silent since this was last asked for.
    has_changed: bool,
}

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatPath {
    /// Its sender sent it to this node.
    Direct,
    /// Another node passed it on.
    PassedOn,
}

impl PeerDirectory {
    /// A node of the same data centre that sent no heartbeat for this long is skipped while others
    /// send some. Covers four heartbeats, so that single lost datagrams don't matter.
    pub const HEARTBEAT_TIMEOUT: Millis = Millis::new(1_300);
    /// The heartbeat timeout for a node of another data centre; covers three heartbeats.
    pub const REMOTE_HEARTBEAT_TIMEOUT: Millis = Millis::new(3_300);
    /// How much longer a heartbeat may take that other nodes pass on.
    const RELAY_TIME: Millis = Millis::new(1_000);
    /// How much longer a heartbeat may take from another data centre if other nodes pass it on.
    const REMOTE_RELAY_TIME: Millis = Millis::new(2_500);
    /// How long a node counts as about to be heard after its entry was found in the store.
    const UNHEARD_TIME: Millis = Millis::new(3_000);
    /// A node that sent no heartbeat for this long is forgotten, even if the store still has its
    /// entry. Longer than an outage of the store, after which only its peers know a restarted node.
    pub const RETENTION: Millis = Millis::new(120_000);
    /// The largest number of nodes that all send each other heartbeats. In a larger fleet a node
    /// sends to its links, and these pass on what it tells.
    const MAX_MESH_NODES: usize = 80;
    /// The number of nodes from which they pass on what others tell. Less than `MAX_MESH_NODES`, as
    /// some nodes of a fleet may count a few more than others.
    const MIN_RELAY_NODES: usize = 64;

    /// Creates the directory of a node in `data_centre`, without other nodes.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            peers: BTreeMap::new(),
            by_inbound: HashMap::new(),
            by_key: HashMap::new(),
            live: LiveNodes::default(),
            unheard_local: BTreeSet::new(),
            unheard_remote: BTreeSet::new(),
            silent_local: BTreeSet::new(),
            silent_remote: BTreeSet::new(),
            checks: BTreeSet::new(),
            has_changed: false,
        }
    }

    /// Adds a node by its entry in the store, or updates its addresses.
    pub fn add_listed(&mut self, now: Instant, entry: NodeEntry) {
        self.remove_reused_address(&entry);
        let node = entry.node.clone();
        let is_local = entry.data_centre == self.data_centre;
        let mut peer = match self.take(&node) {
            Some(known) => Peer { is_local, entry, ..known },
            None => Peer::listed(now, entry, is_local),
        };
        if peer.liveness == Liveness::Unheard {
            peer.next_check = peer.last_seen + Self::UNHEARD_TIME;
        }
        self.put(peer);
    }

    /// Returns whether `heartbeat` comes from a node, or from a start of it, that was not known.
    pub fn is_newcomer(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.entry.node).and_then(Peer::incarnation);
        known != Some(heartbeat.incarnation)
    }

    /// Records a heartbeat. Returns `None` if it is outdated, otherwise whether it changes
    /// something.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
        path: HeartbeatPath,
    ) -> Option<bool> {
        let node = heartbeat.entry.node.clone();
        let known = self.peers.get(&node);
        if known.is_some_and(|peer| peer.is_newer_than(now, &heartbeat)) {
            return None;
        }
        let timeout = self.timeout(heartbeat.entry.data_centre == self.data_centre);
        let is_direct = path == HeartbeatPath::Direct;
        if let Some(peer) = self.peers.get_mut(&node)
            && peer.liveness == Liveness::Live
            && !peer.is_silent(now)
            && peer.heartbeat.as_ref().is_some_and(|known| is_same_in_indexes(known, &heartbeat))
        {
            let known = peer.heartbeat.as_ref();
            let is_new = known.is_none_or(|known| !has_same_content(known, &heartbeat));
            peer.replace_heartbeat(now, heartbeat, is_direct);
            peer.timeout = timeout;
            return Some(is_new);
        }
        self.remove_reused_address(&heartbeat.entry);
        let is_local = heartbeat.entry.data_centre == self.data_centre;
        let known = self.take(&node);
        let was_silent = known.as_ref().is_none_or(|peer| peer.is_silent(now));
        let mut peer =
            known.unwrap_or_else(|| Peer::listed(now, heartbeat.entry.clone(), is_local));
        let is_changed =
            peer.heartbeat.as_ref().is_none_or(|known| !has_same_content(known, &heartbeat));
        peer.is_local = is_local;
        peer.timeout = timeout;
        peer.replace_heartbeat(now, heartbeat, is_direct);
        // A heartbeat that was passed on may be older than the silence of its sender.
        let is_silent = peer.is_silent(now);
        self.set_liveness(&mut peer, if is_silent { Liveness::Silent } else { Liveness::Live });
        self.put(peer);
        Some(!is_silent && (was_silent || is_changed))
    }

    /// Records that another node knows of a heartbeat. Returns whether this node lacks its content.
    /// In a small fleet only a node that is not known at all is lacking.
    pub fn record_latest(&mut self, now: Instant, latest: &LatestHeartbeat) -> bool {
        let node = self.by_key.get(&latest.key);
        let has_relays = self.has_relays();
        let Some(peer) = node.and_then(|node| self.peers.get_mut(node)) else { return true };
        if !has_relays {
            // Its own heartbeats tell whether this node reaches it.
            return false;
        }
        let has_content =
            peer.heartbeat.as_ref().is_some_and(|known| known.sequence >= latest.revision);
        peer.latest_revision = peer.latest_revision.max(latest.revision);
        if peer.record_sequence(now, latest.sequence) && peer.liveness == Liveness::Silent {
            let node = peer.entry.node.clone();
            if let Some(mut peer) = self.take(&node) {
                self.set_liveness(&mut peer, Liveness::Live);
                self.put(peer);
            }
        }
        !has_content
    }

    /// Marks nodes that are not heard of any more as silent, and forgets those that are silent for
    /// [`Self::RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        while let Some((time, node)) = self.checks.first().cloned()
            && time <= now
        {
            let Some(mut peer) = self.take(&node) else { continue };
            if peer.last_seen + Self::RETENTION <= now {
                continue;
            }
            // The fleet may have grown since the last heartbeat.
            peer.timeout = self.timeout(peer.is_local);
            let is_silent = match peer.liveness {
                Liveness::Unheard => peer.last_seen + Self::UNHEARD_TIME <= now,
                Liveness::Live => peer.is_silent(now),
                Liveness::Silent => true,
            };
            let liveness = if is_silent { Liveness::Silent } else { peer.liveness };
            self.set_liveness(&mut peer, liveness);
            self.put(peer);
        }
    }

    /// Returns all known nodes, also silent ones.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the node with the id `node`.
    pub fn get(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Returns the node whose start has the key `key`.
    pub(super) fn by_key(&self, key: NodeKey) -> Option<&Peer> {
        self.by_key.get(&key).and_then(|node| self.peers.get(node))
    }

    /// Returns the nodes that were heard of lately, as of the last tick.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.live.ids.iter().filter_map(|node| self.peers.get(node))
    }

    /// Returns the number of nodes that were heard of lately, as of the last tick.
    pub fn live_count(&self) -> usize {
        self.live.ids.len()
    }

    /// Returns the number of nodes of the same data centre that were heard of lately.
    pub(super) fn local_live_count(&self) -> usize {
        self.live.local.len()
    }

    /// Returns the live nodes that don't leave and have a configuration newer than `version`.
    pub(super) fn newer_nodes(&self, version: ConfigVersion) -> impl Iterator<Item = &Peer> {
        let newest_first = self.live.by_version.iter().rev();
        let newer = newest_first.take_while(move |(known, _)| *known > version);
        newer.filter_map(|(_, node)| self.peers.get(node))
    }

    /// Returns the live nodes that precede `rank` in the order in which nodes take over work.
    pub(super) fn ranked_before(&self, rank: &Rank) -> impl Iterator<Item = &Rank> {
        self.live.ranked.range(..rank)
    }

    /// Returns those of [`Self::ranked_before`] that are in the same data centre.
    pub(super) fn local_ranked_before(&self, rank: &Rank) -> impl Iterator<Item = &Rank> {
        self.live.local_ranked.range(..rank)
    }

    /// Returns whether nodes became live or silent since the last call.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns whether all nodes send each other heartbeats.
    pub(super) fn is_mesh(&self) -> bool {
        self.present_nodes() <= Self::MAX_MESH_NODES
    }

    /// Returns whether nodes pass on what others tell.
    pub(super) fn has_relays(&self) -> bool {
        self.present_nodes() >= Self::MIN_RELAY_NODES
    }

    /// Returns the number of nodes that are not silent, this one included.
    fn present_nodes(&self) -> usize {
        self.live.ids.len() + self.unheard_local.len() + self.unheard_remote.len() + 1
    }

    pub(super) fn timeout(&self, is_local: bool) -> Millis {
        let (direct, relay) = if is_local {
            (Self::HEARTBEAT_TIMEOUT, Self::RELAY_TIME)
        } else {
            (Self::REMOTE_HEARTBEAT_TIMEOUT, Self::REMOTE_RELAY_TIME)
        };
        if self.is_mesh() { direct } else { Millis::new(direct.get() + relay.get()) }
    }

    fn set_liveness(&mut self, peer: &mut Peer, liveness: Liveness) {
        let is_live = |liveness| liveness == Liveness::Live;
        self.has_changed |= is_live(peer.liveness) != is_live(liveness);
        peer.liveness = liveness;
        peer.next_check = match liveness {
            Liveness::Unheard => peer.last_seen + Self::UNHEARD_TIME,
            // Past the timeout itself, at which the node is not silent yet.
            Liveness::Live => peer.last_seen + peer.timeout + Millis::new(1),
            Liveness::Silent => peer.last_seen + Self::RETENTION,
        };
    }

    /// Takes a node out of the directory and all its indexes.
    fn take(&mut self, node: &NodeId) -> Option<Peer> {
        let peer = self.peers.remove(node)?;
        self.by_inbound.remove(&peer.entry.inbound);
        if let Some(key) = peer.key {
            self.by_key.remove(&key);
        }
        self.checks.remove(&(peer.next_check, node.clone()));
        match peer.liveness {
            Liveness::Live => self.live.remove(&peer),
            liveness => {
                self.set_of(liveness, peer.is_local).remove(node);
            }
        }
        Some(peer)
    }

    /// Puts a node into the directory and all its indexes.
    fn put(&mut self, peer: Peer) {
        let node = peer.node().clone();
        self.by_inbound.insert(peer.entry.inbound, node.clone());
        if let Some(key) = peer.key {
            self.by_key.insert(key, node.clone());
        }
        self.checks.insert((peer.next_check, node.clone()));
        match peer.liveness {
            Liveness::Live => self.live.insert(&peer),
            liveness => {
                self.set_of(liveness, peer.is_local).insert(node.clone());
            }
        }
        self.peers.insert(node, peer);
    }

    /// Returns the index of the nodes that are not live.
    const fn set_of(&mut self, liveness: Liveness, is_local: bool) -> &mut BTreeSet<NodeId> {
        match (liveness, is_local) {
            (Liveness::Unheard, true) => &mut self.unheard_local,
            (Liveness::Unheard, false) => &mut self.unheard_remote,
            (_, true) => &mut self.silent_local,
            (_, false) => &mut self.silent_remote,
        }
    }

    /// Removes the node whose inbound address now belongs to the node of `entry`.
    fn remove_reused_address(&mut self, entry: &NodeEntry) {
        let owner = self.by_inbound.get(&entry.inbound).filter(|owner| **owner != entry.node);
        if let Some(owner) = owner.cloned() {
            self.take(&owner);
            self.has_changed = true;
        }
    }
}

/// Returns whether the indexes of the directory hold the same for both heartbeats of a node.
fn is_same_in_indexes(known: &Heartbeat, new: &Heartbeat) -> bool {
    known.incarnation == new.incarnation
        && known.is_store_reached == new.is_store_reached
        && known.is_leaving == new.is_leaving
        && known.config_version == new.config_version
        && known.entry == new.entry
}

fn has_same_content(old: &Heartbeat, new: &Heartbeat) -> bool {
    old.entry == new.entry
        && old.incarnation == new.incarnation
        && old.is_leaving == new.is_leaving
        && old.backend == new.backend
}
