//! Peer table of a node.

use std::collections::BTreeMap;

use crate::ids::{DataCentre, Incarnation, NodeId};
use crate::peers::hash::{hash_text, mix};
use crate::peers::rendezvous::rank_positions;
use crate::peers::{AnnouncedBackend, Links, Merge, Peer, PeerStatus};
use crate::units::{Instant, Micros, Millis};

/// Number of buckets whose digests are compared to find differences between two tables.
pub const BUCKET_COUNT: usize = 64;

/// Time for which dead entries are kept and probed, so that a partitioned data centre is found
/// again.
const DEAD_RETENTION: Millis = Millis::new(3_600_000);
/// Time after which a leaving node is declared dead. It waits at most 30 s for its calls.
const LEAVING_TIMEOUT: Millis = Millis::new(40_000);
/// Maximum number of entries, twice the largest planned installation.
const MAX_ENTRIES: usize = 8_192;

/// The nodes of the installation as this node knows them, including itself.
#[derive(Debug, Clone)]
pub struct PeerTable {
    /// Id of this node. It always has an entry, which only this node changes.
    own: NodeId,
    entries: BTreeMap<NodeId, Entry>,
    /// For each bucket, the XOR of the digests of its entries. Dead entries don't count, because
    /// nodes drop them at different times.
    buckets: [u64; BUCKET_COUNT],
    /// Number of changes since the table was created.
    change_count: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    peer: Peer,
    /// Position of the node on the ring: the hash of its id.
    position: u64,
    /// When this node last replaced the entry or restarted the suspicion.
    status_since: Instant,
}

impl Entry {
    fn new(peer: Peer, now: Instant) -> Self {
        Self { position: hash_text(peer.id.as_str()), peer, status_since: now }
    }

    const fn bucket(&self) -> usize {
        // The top six bits select one of 64 buckets.
        (self.position >> 58) as usize
    }

    fn digest(&self) -> u64 {
        match self.peer.status {
            PeerStatus::Dead => 0,
            status => mix(self.position ^ mix(self.peer.incarnation.get() << 2 | status as u64)),
        }
    }
}

impl PeerTable {
    /// Creates the table of the node with the entry `own`, which knows no other node.
    pub fn new(own: Peer, now: Instant) -> Self {
        let mut table = Self {
            own: own.id.clone(),
            entries: BTreeMap::new(),
            buckets: [0; BUCKET_COUNT],
            change_count: 0,
        };
        table.replace_entry(own, now);
        table
    }

    /// Returns this node's own entry.
    pub fn own(&self) -> &Peer {
        &self.entries[&self.own].peer
    }

    /// Returns the entry of the node `id`.
    pub fn get(&self, id: &NodeId) -> Option<&Peer> {
        self.entries.get(id).map(|entry| &entry.peer)
    }

    /// Returns every entry, including this node's own.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|entry| &entry.peer)
    }

    /// Returns the entries of other nodes that are not dead.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.iter().filter(|peer| peer.id != self.own && peer.status != PeerStatus::Dead)
    }

    /// Returns whether this node knows no other live node.
    pub fn is_alone(&self) -> bool {
        self.live().next().is_none()
    }

    /// Returns the number of changes, by which callers detect that derived state is outdated.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Merges an entry received from another node.
    ///
    /// A dead entry for a node that is alive or suspected here only makes it suspected, so that
    /// it has time to refute. Otherwise, the halves of a partition would declare each other's
    /// nodes dead when it heals.
    pub fn merge(&mut self, mut peer: Peer, now: Instant) -> Merge {
        let Some(held) = self.entries.get(&peer.id) else {
            let is_useful = peer.status != PeerStatus::Dead && self.entries.len() < MAX_ENTRIES;
            if is_useful {
                self.replace_entry(peer, now);
            }
            return if is_useful { Merge::Changed } else { Merge::Unchanged };
        };
        if !peer.overrides(&held.peer) {
            return Merge::Unchanged;
        }
        if peer.id == self.own {
            self.refute(peer.incarnation, now);
            return Merge::Refuted;
        }
        if peer.status == PeerStatus::Dead && held.peer.status.takes_calls() {
            peer.status = PeerStatus::Suspected;
            if !peer.overrides(&held.peer) {
                return Merge::Unchanged;
            }
        }
        self.replace_entry(peer, now);
        Merge::Changed
    }

    /// Changes the status of another node at its present incarnation. Returns whether the new
    /// status overrode the old one.
    pub fn set_status(&mut self, id: &NodeId, status: PeerStatus, now: Instant) -> bool {
        match self.entries.get(id) {
            Some(entry) if *id != self.own && entry.peer.status < status => {
                let peer = Peer { status, ..entry.peer.clone() };
                self.replace_entry(peer, now);
                true
            }
            _ => false,
        }
    }

    /// Sets the backend server in this node's entry and raises its incarnation.
    pub fn set_backend(&mut self, backend: Option<AnnouncedBackend>, now: Instant) {
        let own = self.own().clone();
        let incarnation = own.incarnation.next();
        self.replace_entry(Peer { backend, incarnation, ..own }, now);
    }

    /// Marks this node as leaving and raises its incarnation.
    pub fn set_leaving(&mut self, now: Instant) {
        let own = self.own().clone();
        let incarnation = own.incarnation.next();
        self.replace_entry(Peer { status: PeerStatus::Leaving, incarnation, ..own }, now);
    }

    /// Returns the nodes that have been suspected for at least `span`.
    pub fn suspected_for(&self, span: Millis, now: Instant) -> Vec<NodeId> {
        self.with_status_for(PeerStatus::Suspected, span, now)
    }

    /// Restarts the time of every suspicion.
    pub fn restart_suspicions(&mut self, now: Instant) {
        let is_suspected = |entry: &&mut Entry| entry.peer.status == PeerStatus::Suspected;
        self.entries.values_mut().filter(is_suspected).for_each(|entry| entry.status_since = now);
    }

    /// Drops expired dead entries. Returns the nodes that have been leaving for too long, which
    /// the caller declares dead.
    pub fn expire(&mut self, now: Instant) -> Vec<NodeId> {
        for id in self.with_status_for(PeerStatus::Dead, DEAD_RETENTION, now) {
            self.entries.remove(&id);
        }
        self.with_status_for(PeerStatus::Leaving, LEAVING_TIMEOUT, now)
    }

    /// Returns the digest of each bucket.
    pub const fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// Returns the digest of the table, computed from the digests of its buckets.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| mix(digest ^ bucket))
    }

    /// Returns the entries of the buckets whose digests differ from `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<Peer> {
        let differs = |entry: &&Entry| {
            let bucket = entry.bucket();
            theirs.get(bucket) != Some(&self.buckets[bucket])
        };
        self.entries.values().filter(differs).map(|entry| entry.peer.clone()).collect()
    }

    /// Returns the links of `id` among the nodes that take calls. `id` itself counts as one of
    /// them.
    pub fn links_of(&self, id: &NodeId) -> Links {
        self.links_among(id, |entry| entry.peer.status.takes_calls())
    }

    /// Returns the dead nodes that were links of `id`. Some of them may be alive: nodes on both
    /// sides of a partition declare each other dead.
    pub fn dead_links_of(&self, id: &NodeId) -> Vec<NodeId> {
        let mut links = self.links_among(id, |_| true).both();
        links.retain(|link| self.get(link).is_some_and(|peer| peer.status == PeerStatus::Dead));
        links
    }

    fn links_among(&self, id: &NodeId, is_included: impl Fn(&Entry) -> bool) -> Links {
        let is_on_ring = |entry: &&Entry| is_included(entry) || entry.peer.id == *id;
        let mut ring: Vec<(u64, &NodeId)> =
            self.entries.values().filter(is_on_ring).map(|e| (e.position, &e.peer.id)).collect();
        ring.sort_unstable();
        let ring: Vec<&NodeId> = ring.into_iter().map(|(_, id)| id).collect();
        match ring.iter().position(|other| *other == id) {
            Some(index) => Links::of(&ring, index),
            None => Links::default(),
        }
    }

    /// Returns the `count` alive nodes that rank first for `key`, best first; only those in
    /// `data_centre` if one is given.
    pub fn rank(&self, key: &str, data_centre: Option<&DataCentre>, count: usize) -> Vec<&NodeId> {
        let is_candidate = |entry: &&Entry| {
            entry.peer.status == PeerStatus::Alive
                && data_centre.is_none_or(|dc| entry.peer.data_centre == *dc)
        };
        let candidates = self.entries.values().filter(is_candidate);
        rank_positions(key, candidates.map(|entry| (entry.position, &entry.peer.id)), count)
    }

    fn with_status_for(&self, status: PeerStatus, span: Millis, now: Instant) -> Vec<NodeId> {
        let span = Micros::from(span);
        let is_due = |entry: &&Entry| {
            entry.peer.status == status
                && now.since(entry.status_since) >= span
                && entry.peer.id != self.own
        };
        self.entries.values().filter(is_due).map(|entry| entry.peer.id.clone()).collect()
    }

    fn refute(&mut self, claimed: Incarnation, now: Instant) {
        let own = self.own().clone();
        self.replace_entry(Peer { incarnation: claimed.next(), ..own }, now);
    }

    /// Adds or replaces an entry and updates the digest of its bucket.
    fn replace_entry(&mut self, peer: Peer, now: Instant) {
        let entry = Entry::new(peer, now);
        let bucket = entry.bucket();
        self.buckets[bucket] ^= entry.digest();
        if let Some(old) = self.entries.insert(entry.peer.id.clone(), entry) {
            self.buckets[bucket] ^= old.digest();
        }
        self.change_count += 1;
    }
}
