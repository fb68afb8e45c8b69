//! Pings of links, and probes of dead peers and unknown seeds.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::{INDIRECT_TIMEOUT, MAX_PING_RELAYS, Membership};
use crate::control::cx::Cx;
use crate::control::pending_request::PendingRequest;
use crate::control::{PeerMessage, RequestId, SyncStatus};
use crate::ids::NodeId;
use crate::peers::{PING_TIMEOUT, Peer, PeerStatus};
use crate::units::Instant;

impl Membership {
    /// Pings the next link, and probes the next dead peer or unknown seed.
    pub(crate) fn ping<R>(&mut self, status: &SyncStatus, cx: &mut Cx<'_, R>) {
        let links = self.links().outgoing.clone();
        if let Some(target) = self.detector.next_link(&links)
            && let Some(to) = self.addr(&target)
        {
            let request = PendingRequest::Ping { target, sent: cx.now };
            cx.send(to, PeerMessage::Ping(status.clone()), PING_TIMEOUT, request);
        }
        if let Some(to) = self.next_probe_target() {
            let request = PendingRequest::Probe { to };
            cx.send(to, PeerMessage::Ping(status.clone()), PING_TIMEOUT, request);
        }
    }

    /// Returns the address of the next dead peer or unknown seed, in turn.
    pub(super) fn next_probe_target(&mut self) -> Option<SocketAddr> {
        let is_dead = |peer: &&Peer| peer.status == PeerStatus::Dead;
        let dead = self.table.iter().filter(is_dead).map(|peer| peer.peer_addr);
        let is_known = |seed: &&SocketAddr| self.table.live().any(|p| p.peer_addr == **seed);
        let seeds = self.seeds.iter().filter(|seed| !is_known(seed)).copied();
        let probed: Vec<SocketAddr> = dead.chain(seeds).collect();
        self.probe_count = self.probe_count.wrapping_add(1);
        probed.get(self.probe_count.checked_rem(probed.len())?).copied()
    }

    /// Records that `target` answered a ping.
    pub(crate) fn handle_pong<R>(&mut self, target: &NodeId, sent: Instant, cx: &mut Cx<'_, R>) {
        self.pending_indirect_pings.remove(target);
        self.detector.record(target, sent, true, cx.now);
    }

    /// Records that `target` did not answer a ping, and asks other nodes to ping it.
    pub(crate) fn handle_ping_failure<R: Rng>(
        &mut self,
        target: NodeId,
        sent: Instant,
        cx: &mut Cx<'_, R>,
    ) {
        let counts = self.detector.record(&target, sent, false, cx.now);
        let is_alive = self.table.get(&target).is_some_and(|p| p.status == PeerStatus::Alive);
        if !counts || !is_alive || self.pending_indirect_pings.contains_key(&target) {
            return;
        }
        let ping_relays = self.ping_relays(&target, cx.rng);
        for relay in &ping_relays {
            let message = PeerMessage::PingFor(target.clone());
            let request = PendingRequest::IndirectPing { target: target.clone() };
            cx.send(*relay, message, INDIRECT_TIMEOUT, request);
        }
        if ping_relays.is_empty() {
            self.suspect(target, cx);
        } else {
            self.pending_indirect_pings.insert(target, ping_relays.len());
        }
    }

    /// Handles the result of an indirect ping. Suspects `target` when all have failed.
    pub(crate) fn handle_indirect_ping<R>(&mut self, target: NodeId, ok: bool, cx: &mut Cx<'_, R>) {
        let Some(waiting) = self.pending_indirect_pings.get_mut(&target) else { return };
        *waiting -= 1;
        if ok {
            self.pending_indirect_pings.remove(&target);
        } else if *waiting == 0 {
            self.pending_indirect_pings.remove(&target);
            self.suspect(target, cx);
        }
    }

    /// Pings `target` for another node, which waits for the reply to `relay_request`.
    pub(crate) fn relay_ping<R>(
        &self,
        target: NodeId,
        relay_request: RequestId,
        status: SyncStatus,
        cx: &mut Cx<'_, R>,
    ) {
        match self.addr(&target) {
            Some(to) => {
                let request = PendingRequest::RelayedPing { target, relay_request };
                cx.send(to, PeerMessage::Ping(status), PING_TIMEOUT, request);
            }
            None => cx.out.reply(relay_request, PeerMessage::NoAnswer(target)),
        }
    }

    /// Returns the addresses of up to [`MAX_PING_RELAYS`] alive links of `target`.
    pub(super) fn ping_relays(&self, target: &NodeId, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let own = &self.table.own().id;
        let links = self.table.links_of(target).both();
        let is_able = |peer: &&Peer| peer.status == PeerStatus::Alive && peer.id != *own;
        let able = links.iter().filter_map(|id| self.table.get(id)).filter(is_able);
        able.map(|peer| peer.peer_addr).choose_multiple(rng, MAX_PING_RELAYS)
    }

    pub(super) fn suspect<R>(&mut self, target: NodeId, cx: &mut Cx<'_, R>) {
        if self.table.set_status(&target, PeerStatus::Suspected, cx.now) {
            self.handle_status_change(target, PeerStatus::Suspected, cx);
        }
    }
}
