//! A directory of the other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fleet::{Heartbeat, NodeEntry};
use crate::ids::{DataCentre, Incarnation, NodeId};
use crate::units::{Instant, Millis};

/// The other nodes, as their heartbeats and store entries describe them.
#[derive(Debug)]
pub struct PeerDirectory {
    data_centre: DataCentre,
    peers: BTreeMap<NodeId, Peer>,
}

/// Another node, as this node knows it.
#[derive(Debug)]
pub struct Peer {
    /// The id and addresses of the other node.
    pub entry: NodeEntry,
    /// Whether the other node is in the same data centre as this one.
    pub is_local: bool,
    /// The newest heartbeat of the other node; `None` if only its entry in the store is known.
    pub heartbeat: Option<Heartbeat>,
    /// When the last heartbeat arrived or the entry was found in the store.
    last_seen: Instant,
}

impl PeerDirectory {
    /// A node of the same data centre that sent no heartbeat for this long is skipped while others
    /// send some. Covers four heartbeats, so that single lost datagrams don't matter.
    pub const HEARTBEAT_TIMEOUT: Millis = Millis::new(1_300);
    /// The heartbeat timeout for a node of another data centre; covers three heartbeats.
    pub const REMOTE_HEARTBEAT_TIMEOUT: Millis = Millis::new(3_300);
    /// A node that sent no heartbeat for this long is forgotten, even if the store still has its
    /// entry. Longer than an outage of the store, after which only its peers know a restarted node.
    pub const RETENTION: Millis = Millis::new(120_000);

    /// Creates the directory of a node in `data_centre`, without other nodes.
    pub const fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, peers: BTreeMap::new() }
    }

    /// Adds a node by its entry in the store, or updates its addresses.
    pub fn add_listed(&mut self, now: Instant, entry: NodeEntry) {
        self.remove_reused_addresses(&entry);
        let is_local = entry.data_centre == self.data_centre;
        let peer = self.peers.entry(entry.node.clone()).or_insert_with(|| Peer {
            entry: entry.clone(),
            is_local,
            heartbeat: None,
            last_seen: now,
        });
        peer.entry = entry;
    }

    /// Returns whether `heartbeat` comes from a node, or from a start of it, that was not known.
    pub fn is_newcomer(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.entry.node).and_then(Peer::incarnation);
        known != Some(heartbeat.incarnation)
    }

    /// Records a heartbeat. Returns `None` if it is outdated, otherwise whether it changes
    /// something.
    pub fn record_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<bool> {
        if let Some(peer) = self.peers.get(&heartbeat.entry.node)
            && peer.is_newer_than(now, &heartbeat)
        {
            return None;
        }
        self.remove_reused_addresses(&heartbeat.entry);
        let node = heartbeat.entry.node.clone();
        let old = self.peers.remove(&node);
        let was_silent = old.as_ref().is_none_or(|peer| peer.is_silent(now));
        let is_new = was_silent
            || old
                .and_then(|peer| peer.heartbeat)
                .is_none_or(|old| !has_same_content(&old, &heartbeat));
        let entry = heartbeat.entry.clone();
        let is_local = entry.data_centre == self.data_centre;
        let peer = Peer { entry, is_local, heartbeat: Some(heartbeat), last_seen: now };
        self.peers.insert(node, peer);
        Some(is_new)
    }

    /// Forgets nodes that are silent for [`Self::RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        self.peers.retain(|_, peer| now.since(peer.last_seen) < Self::RETENTION.into());
    }

    /// Returns all known nodes, also silent ones.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the node with the id `node`.
    pub fn get(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Returns the nodes that sent a heartbeat recently.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.iter().filter(move |peer| !peer.is_silent(now))
    }

    /// Returns the heartbeat addresses of the nodes of the same data centre, or of all others.
    pub fn addresses(&self, is_local: bool) -> impl Iterator<Item = SocketAddr> {
        self.iter().filter(move |peer| peer.is_local == is_local).map(|peer| peer.entry.heartbeats)
    }

    /// Removes nodes whose inbound address now belongs to the node of `entry`.
    fn remove_reused_addresses(&mut self, entry: &NodeEntry) {
        self.peers.retain(|node, peer| *node == entry.node || peer.entry.inbound != entry.inbound);
    }
}

impl Peer {
    /// Returns when the last heartbeat arrived or the entry was found in the store.
    pub const fn last_seen(&self) -> Instant {
        self.last_seen
    }

    /// Returns whether the node sent no heartbeat within the timeout of its data centre.
    pub fn is_silent(&self, now: Instant) -> bool {
        let timeout = if self.is_local {
            PeerDirectory::HEARTBEAT_TIMEOUT
        } else {
            PeerDirectory::REMOTE_HEARTBEAT_TIMEOUT
        };
        self.heartbeat.is_none() || now.since(self.last_seen) > timeout.into()
    }

    /// Returns the start of the node that its last heartbeat names; `None` without a heartbeat.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.heartbeat.as_ref().map(|heartbeat| heartbeat.incarnation)
    }

    /// Returns whether the known heartbeat is newer than `other`. A start with a lower number is
    /// accepted once the known one is silent, because the time of day may jump back.
    fn is_newer_than(&self, now: Instant, other: &Heartbeat) -> bool {
        let Some(known) = &self.heartbeat else { return false };
        match known.incarnation.cmp(&other.incarnation) {
            std::cmp::Ordering::Equal => known.sequence >= other.sequence,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Greater => !self.is_silent(now),
        }
    }
}

fn has_same_content(old: &Heartbeat, new: &Heartbeat) -> bool {
    old.entry == new.entry
        && old.incarnation == new.incarnation
        && old.is_leaving == new.is_leaving
        && old.backend == new.backend
}
