//! Membership of the installation and failure detection.

mod probes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::control::cx::Cx;
use crate::control::joiner::Joiner;
use crate::control::pending_request::PendingRequest;
use crate::control::{PeerMessage, StateChange, SyncStatus};
use crate::ids::{Incarnation, NodeId};
use crate::peers::{FailureDetector, Links, Merge, PING_TIMEOUT, Peer, PeerStatus, PeerTable};
use crate::units::{Instant, Millis};

/// Timeout of peer requests other than pings.
pub(crate) const EXCHANGE_TIMEOUT: Millis = Millis::new(1_000);
/// Timeout of an indirect ping: the ping by the relay, and the round trip to the relay.
const INDIRECT_TIMEOUT: Millis = Millis::new(800);
/// Number of nodes that are asked to ping a node that did not answer.
const MAX_PING_RELAYS: usize = 2;
/// Target number of live entries in the reply to a join; dead links are added to them.
const JOIN_SAMPLE_SIZE: usize = 64;
/// Number of changed entries up to which a batch is forwarded. Larger batches come from the
/// comparison of whole tables, which every node does itself.
const MAX_FORWARDED_ENTRIES: usize = 32;
/// Minimum time between two comparisons of whole peer tables.
const COMPARE_INTERVAL: Millis = Millis::new(1_000);

/// Tracks the nodes of the installation, joins them and detects failures.
#[derive(Debug, Clone)]
pub(crate) struct Membership {
    pub(crate) table: PeerTable,
    pub(crate) detector: FailureDetector,
    pub(crate) joiner: Joiner,
    pub(crate) seeds: Vec<SocketAddr>,
    links: Links,
    /// Change count of the peer table when `links` was computed.
    links_change_count: u64,
    /// Number of indirect pings without a result yet, by the node that they ping.
    pending_indirect_pings: BTreeMap<NodeId, usize>,
    /// Nodes whose table entries changed during this event and must be forwarded to the links.
    changed_entries: BTreeSet<NodeId>,
    next_compare: Instant,
    /// Number of probes sent, which selects the next dead peer or unknown seed in turn.
    probe_count: usize,
}

impl Membership {
    pub(crate) fn new(own: Peer, seeds: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            table: PeerTable::new(own, now),
            detector: FailureDetector::default(),
            joiner: Joiner::new(now),
            seeds,
            links: Links::default(),
            links_change_count: 0,
            pending_indirect_pings: BTreeMap::new(),
            changed_entries: BTreeSet::new(),
            next_compare: Instant::default(),
            probe_count: 0,
        }
    }

    /// Returns the links, recomputed if the peer table has changed.
    pub(crate) fn links(&mut self) -> &Links {
        if self.links_change_count != self.table.change_count() {
            self.links = self.table.links_of(&self.table.own().id);
            self.links_change_count = self.table.change_count();
        }
        &self.links
    }

    /// Returns the links as they were last computed.
    pub(crate) const fn last_links(&self) -> &Links {
        &self.links
    }

    pub(crate) fn addr(&self, id: &NodeId) -> Option<SocketAddr> {
        self.table.get(id).map(|peer| peer.peer_addr)
    }

    /// Records the time of an event. Drops indirect pings if this process was paused before it.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        if self.detector.detect_pause(&mut self.table, now) {
            self.pending_indirect_pings.clear();
        }
    }

    /// Sends join requests to the seeds if an attempt is due.
    pub(crate) fn join<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        if self.joiner.start_attempt(self.seeds.len(), cx.now) {
            for seed in &self.seeds {
                let message = PeerMessage::Join(self.table.own().clone());
                cx.send(*seed, message, PING_TIMEOUT, PendingRequest::JoinSeed);
            }
        }
    }

    /// Sends a join request to the node at `to`, whose reply contains this node's version floor
    /// as that node knows it.
    pub(crate) fn join_peer<R>(&self, to: SocketAddr, timeout: Millis, cx: &mut Cx<'_, R>) {
        let message = PeerMessage::Join(self.table.own().clone());
        cx.send(to, message, timeout, PendingRequest::JoinPeer);
    }

    /// Updates self-preservation, declares nodes dead and drops expired entries.
    pub(crate) fn tick<R>(&mut self, cx: &mut Cx<'_, R>) {
        if self.detector.update_self_preservation(&mut self.table, cx.now) {
            cx.report(StateChange::SelfPreservation(self.detector.is_self_preserving()));
        }
        for id in self.detector.expire_suspicions(&mut self.table, cx.now) {
            self.handle_status_change(id, PeerStatus::Dead, cx);
        }
        for id in self.table.expire(cx.now) {
            if self.table.set_status(&id, PeerStatus::Dead, cx.now) {
                self.handle_status_change(id, PeerStatus::Dead, cx);
            }
        }
    }

    /// Adds `peer`, which asked to join, and returns the entries for the reply: this node, a
    /// random sample, and the links of `peer`, alive or dead, which it asks for its version
    /// floor.
    pub(crate) fn admit<R: Rng>(&mut self, peer: Peer, cx: &mut Cx<'_, R>) -> Vec<Peer> {
        let id = peer.id.clone();
        self.merge(peer.clone(), cx);
        let mut wanted: BTreeSet<NodeId> = self.table.links_of(&id).both().into_iter().collect();
        wanted.insert(self.table.own().id.clone());
        let others = self.table.live().filter(|p| p.id != id && !wanted.contains(&p.id));
        let missing = JOIN_SAMPLE_SIZE.saturating_sub(wanted.len());
        let others: Vec<NodeId> = others.map(|p| p.id.clone()).choose_multiple(cx.rng, missing);
        wanted.extend(others);
        wanted.extend(self.table.dead_links_of(&id));
        let mut sample: Vec<Peer> =
            wanted.iter().filter_map(|id| self.table.get(id)).cloned().collect();
        // Lets a node whose clock went back exceed the incarnation held here.
        sample.extend(self.table.get(&id).filter(|held| held.overrides(&peer)).cloned());
        sample
    }

    /// Merges entries sent by another node. Returns the entries held here that override them.
    pub(crate) fn merge_updates<R>(&mut self, peers: Vec<Peer>, cx: &mut Cx<'_, R>) -> Vec<Peer> {
        self.merge_all(peers.clone(), cx);
        let overriding = |sent: &Peer| self.table.get(&sent.id).filter(|held| held.overrides(sent));
        peers.iter().filter_map(overriding).cloned().collect()
    }

    /// Merges entries from a reply of `from`.
    pub(crate) fn merge_entries<R>(
        &mut self,
        peers: Vec<Peer>,
        from: Option<&NodeId>,
        cx: &mut Cx<'_, R>,
    ) {
        let refuted = self.merge_all(peers, cx);
        if refuted && let Some(from) = from {
            // `from` may not be a link, so the refutation would not reach it otherwise.
            self.send_entries(from, &[], cx);
        }
    }

    /// Handles the status that a node sent about itself, and repairs differences.
    pub(crate) fn handle_status<R>(
        &mut self,
        status: &SyncStatus,
        own_digest: u64,
        cx: &mut Cx<'_, R>,
    ) {
        let Some(peer) = self.table.get(&status.node).cloned() else { return };
        let is_accused = matches!(peer.status, PeerStatus::Suspected | PeerStatus::Dead);
        if is_accused || status.incarnation > peer.incarnation {
            // The node refutes the entry or replies with a newer one.
            self.send_entries(&peer.id.clone(), &[peer], cx);
        } else if status.table_digest != own_digest && cx.now >= self.next_compare {
            self.next_compare = cx.now + COMPARE_INTERVAL;
            self.request_differences(&peer, cx);
        }
    }

    /// Schedules this node's own changed entry to be forwarded to the links.
    pub(crate) fn propagate_own_entry(&mut self) {
        self.changed_entries.insert(self.table.own().id.clone());
    }

    /// Forwards the entries that changed during this event to the links.
    pub(crate) fn flush<R>(&mut self, cx: &mut Cx<'_, R>) {
        let changed = std::mem::take(&mut self.changed_entries);
        if changed.is_empty() {
            return;
        }
        let entries: Vec<Peer> =
            changed.iter().filter_map(|id| self.table.get(id)).cloned().collect();
        for link in self.links().outgoing.clone() {
            self.send_updates(&link, entries.clone(), cx);
        }
    }

    /// Sends `entries` and this node's own entry to `to`.
    fn send_entries<R>(&self, to: &NodeId, entries: &[Peer], cx: &mut Cx<'_, R>) {
        let own = self.table.own();
        self.send_updates(to, entries.iter().chain([own]).cloned().collect(), cx);
    }

    fn send_updates<R>(&self, to: &NodeId, entries: Vec<Peer>, cx: &mut Cx<'_, R>) {
        if let Some(addr) = self.addr(to) {
            let request = PendingRequest::Updates { peer: to.clone() };
            cx.send(addr, PeerMessage::PeerUpdates(entries), EXCHANGE_TIMEOUT, request);
        }
    }

    /// Asks `peer` for the entries that differ. Also sends this node's own entry, because a
    /// peer that does not know this node can't compare in turn.
    fn request_differences<R>(&self, peer: &Peer, cx: &mut Cx<'_, R>) {
        let message = PeerMessage::TableBuckets(self.table.buckets().to_vec());
        let request = PendingRequest::CompareTables { peer: peer.id.clone() };
        cx.send(peer.peer_addr, message, EXCHANGE_TIMEOUT, request);
        self.send_entries(&peer.id, &[], cx);
    }

    /// Merges `peers`. Returns whether this node refuted one of them.
    fn merge_all<R>(&mut self, peers: Vec<Peer>, cx: &mut Cx<'_, R>) -> bool {
        let mut refuted = false;
        let before = std::mem::take(&mut self.changed_entries);
        for peer in peers {
            refuted |= self.merge(peer, cx) == Merge::Refuted;
        }
        if self.changed_entries.len() > MAX_FORWARDED_ENTRIES {
            self.changed_entries.clear();
        }
        self.changed_entries.extend(before);
        if refuted {
            self.propagate_own_entry();
        }
        refuted
    }

    fn merge<R>(&mut self, peer: Peer, cx: &mut Cx<'_, R>) -> Merge {
        let id = peer.id.clone();
        let before = self.table.get(&id).map(|p| (p.status, p.incarnation, p.backend.is_some()));
        let merge = self.table.merge(peer, cx.now);
        match merge {
            Merge::Unchanged => {}
            Merge::Refuted => {
                cx.report(StateChange::SuspicionRefuted);
                cx.out.publish();
                self.propagate_own_entry();
            }
            Merge::Changed => self.handle_merged_entry(id, before, cx),
        }
        merge
    }

    fn handle_merged_entry<R>(
        &mut self,
        id: NodeId,
        before: Option<(PeerStatus, Incarnation, bool)>,
        cx: &mut Cx<'_, R>,
    ) {
        let Some(peer) = self.table.get(&id) else { return };
        let (status, incarnation) = (peer.status, peer.incarnation);
        let had_backend = before.is_some_and(|(_, _, had)| had);
        if (had_backend || peer.backend.is_some())
            && before.map(|(_, incarnation, _)| incarnation) != Some(incarnation)
        {
            cx.out.publish();
        }
        if before.map(|(status, ..)| status) == Some(status) {
            self.changed_entries.insert(id);
        } else {
            self.handle_status_change(id, status, cx);
        }
    }

    /// Reports and forwards a changed status, and publishes it if it affects calls.
    fn handle_status_change<R>(&mut self, id: NodeId, status: PeerStatus, cx: &mut Cx<'_, R>) {
        let has_backend = self.table.get(&id).is_some_and(|peer| peer.backend.is_some());
        if has_backend && status != PeerStatus::Suspected {
            cx.out.publish();
        }
        cx.report(StateChange::PeerStatusChanged(id.clone(), status));
        self.changed_entries.insert(id);
    }
}
