//! Requests to other nodes for a newer configuration.

use std::net::SocketAddr;

use rand::Rng;

use crate::fleet::NodeEntry;
use crate::ids::NodeId;
use crate::units::{Instant, Micros, Millis};

/// The requests to other nodes for a newer configuration.
///
/// Handles nodes that never answer, and answers that take long because the link to this node is
/// full: a further node is asked while the first may still answer. Giving the first one up would
/// lose an answer that is on its way, and the next answer would have to queue in the same link.
#[derive(Debug, Default)]
pub(super) struct ConfigFetches {
    /// The requests without an end, in the order in which they began; at most `MAX_PENDING`.
    pending: Vec<ConfigFetch>,
    /// No node is asked before this instant.
    paused_until: Instant,
}

#[derive(Debug)]
struct ConfigFetch {
    node: NodeId,
    address: SocketAddr,
    began: Instant,
    /// Whether the configuration arrives: a second copy would only slow it down.
    has_head: bool,
}

impl ConfigFetches {
    /// How long a request is waited for: longer than the process waits for the answer.
    const TIMEOUT: Millis = Millis::new(1_900);
    /// How long to wait for an answer before a further node is asked.
    const HEDGE_DELAY: Millis = Millis::new(500);
    /// The largest number of nodes that are asked at the same time.
    const MAX_PENDING: usize = 3;
    /// The mean delay before another node is asked, after one was busy or did not answer: about the
    /// time that a node takes to send a configuration over a slow link.
    const RETRY_DELAY: Millis = Millis::new(80);

    /// Returns whether a node may be asked at `now`.
    pub(super) fn may_begin(&mut self, now: Instant) -> bool {
        self.pending.retain(|fetch| now.since(fetch.began) < Self::TIMEOUT.into());
        let is_hedge_due = |fetch: &ConfigFetch| now.since(fetch.began) >= Self::HEDGE_DELAY.into();
        now >= self.paused_until
            && self.pending.len() < Self::MAX_PENDING
            && self.pending.iter().all(|fetch| !fetch.has_head && is_hedge_due(fetch))
    }

    /// Returns whether `entry` has not been asked, or has ended its answer.
    pub(super) fn is_idle(&self, entry: &NodeEntry) -> bool {
        self.pending.iter().all(|fetch| fetch.address != entry.inbound)
    }

    /// Records that the node of `entry` is asked.
    pub(super) fn begin(&mut self, now: Instant, entry: &NodeEntry) {
        let (node, address) = (entry.node.clone(), entry.inbound);
        self.pending.push(ConfigFetch { node, address, began: now, has_head: false });
    }

    /// Records that the configuration of the node at `from` begins to arrive.
    pub(super) fn record_head(&mut self, from: SocketAddr) {
        for fetch in self.pending.iter_mut().filter(|fetch| fetch.address == from) {
            fetch.has_head = true;
        }
    }

    /// Records that the node at `from` did not send a newer configuration, and delays the next
    /// request a little. Returns the node and how long it took; `None` if it was not asked.
    pub(super) fn fail(
        &mut self,
        now: Instant,
        from: SocketAddr,
        rng: &mut impl Rng,
    ) -> Option<(NodeId, Micros)> {
        let at = self.pending.iter().position(|fetch| fetch.address == from)?;
        let fetch = self.pending.remove(at);
        let delay = Micros::from(Self::RETRY_DELAY).get();
        self.paused_until = now + Micros::new(rng.random_range(delay / 2..=delay * 3 / 2));
        Some((fetch.node, now.since(fetch.began)))
    }

    /// Forgets all requests, because a newer configuration has arrived.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
