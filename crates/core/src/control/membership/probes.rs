//! Probes of the nodes that a node is linked with.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::{HELPERS, INDIRECT_TIMEOUT, Membership};
use crate::control::cx::Cx;
use crate::control::pending_request::PendingRequest;
use crate::control::{PeerMessage, RequestId, SyncStatus};
use crate::ids::NodeId;
use crate::peers::{PING_TIMEOUT, Peer, PeerStatus};
use crate::units::Instant;

impl Membership {
    /// Pings a link and probes a dead peer or an unknown seed.
    pub(crate) fn ping<R>(&mut self, status: &SyncStatus, cx: &mut Cx<'_, R>) {
        let links = self.links().outgoing.clone();
        if let Some(target) = self.detector.next_link(&links)
            && let Some(to) = self.addr(&target)
        {
            let request = PendingRequest::Ping { target, began: cx.now };
            cx.send(to, PeerMessage::Ping(status.clone()), PING_TIMEOUT, request);
        }
        if let Some(to) = self.choose_probe() {
            let request = PendingRequest::Probe { to };
            cx.send(to, PeerMessage::Ping(status.clone()), PING_TIMEOUT, request);
        }
    }

    /// The dead peer or the unknown seed whose turn it is.
    pub(super) fn choose_probe(&mut self) -> Option<SocketAddr> {
        let is_dead = |peer: &&Peer| peer.status == PeerStatus::Dead;
        let dead = self.table.iter().filter(is_dead).map(|peer| peer.peer_addr);
        let is_known = |seed: &&SocketAddr| self.table.live().any(|p| p.peer_addr == **seed);
        let seeds = self.seeds.iter().filter(|seed| !is_known(seed)).copied();
        let probed: Vec<SocketAddr> = dead.chain(seeds).collect();
        self.probes = self.probes.wrapping_add(1);
        probed.get(self.probes.checked_rem(probed.len())?).copied()
    }

    /// A ping was answered.
    pub(crate) fn take_pong<R>(&mut self, target: &NodeId, began: Instant, cx: &mut Cx<'_, R>) {
        self.indirect.remove(target);
        self.detector.record(target, began, true, cx.now);
    }

    /// A ping was not answered: asks others to ping the target.
    pub(crate) fn ping_failed<R: Rng>(
        &mut self,
        target: NodeId,
        began: Instant,
        cx: &mut Cx<'_, R>,
    ) {
        let counts = self.detector.record(&target, began, false, cx.now);
        let is_alive = self.table.get(&target).is_some_and(|p| p.status == PeerStatus::Alive);
        if !counts || !is_alive || self.indirect.contains_key(&target) {
            return;
        }
        let helpers = self.helpers(&target, cx.rng);
        for helper in &helpers {
            let message = PeerMessage::PingFor(target.clone());
            let request = PendingRequest::IndirectPing { target: target.clone() };
            cx.send(*helper, message, INDIRECT_TIMEOUT, request);
        }
        if helpers.is_empty() {
            self.suspect(target, cx);
        } else {
            self.indirect.insert(target, helpers.len());
        }
    }

    /// An indirect ping was answered or not.
    pub(crate) fn take_indirect<R>(&mut self, target: NodeId, ok: bool, cx: &mut Cx<'_, R>) {
        let Some(waiting) = self.indirect.get_mut(&target) else { return };
        *waiting -= 1;
        if ok {
            self.indirect.remove(&target);
        } else if *waiting == 0 {
            self.indirect.remove(&target);
            self.suspect(target, cx);
        }
    }

    /// Pings `target` for another node, which waits for the reply to `asked`.
    pub(crate) fn relay_ping<R>(
        &self,
        target: NodeId,
        asked: RequestId,
        status: SyncStatus,
        cx: &mut Cx<'_, R>,
    ) {
        match self.addr(&target) {
            Some(to) => {
                let request = PendingRequest::RelayedPing { target, asked };
                cx.send(to, PeerMessage::Ping(status), PING_TIMEOUT, request);
            }
            None => cx.out.reply(asked, PeerMessage::NoAnswer(target)),
        }
    }

    /// Two links of `target` that can ping it.
    pub(super) fn helpers(&self, target: &NodeId, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let own = &self.table.own().id;
        let links = self.table.links_of(target).both();
        let is_able = |peer: &&Peer| peer.status == PeerStatus::Alive && peer.id != *own;
        let able = links.iter().filter_map(|id| self.table.get(id)).filter(is_able);
        able.map(|peer| peer.peer_addr).choose_multiple(rng, HELPERS)
    }

    pub(super) fn suspect<R>(&mut self, target: NodeId, cx: &mut Cx<'_, R>) {
        if self.table.set_status(&target, PeerStatus::Suspected, cx.now) {
            self.note_status(target, PeerStatus::Suspected, cx);
        }
    }
}
