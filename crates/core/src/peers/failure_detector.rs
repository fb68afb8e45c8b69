//! Failure detector of the mesh.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::NodeId;
use crate::peers::{PeerStatus, PeerTable};
use crate::units::{Instant, Micros, Millis};

/// Time between two pings. Each ping goes to the next link.
pub const PING_PERIOD: Millis = Millis::new(1_000);
/// Time without an answer after which a ping has failed.
pub const PING_TIMEOUT: Millis = Millis::new(500);
/// Time after which a suspected node that has not refuted the suspicion is declared dead.
pub const SUSPICION_TIMEOUT: Millis = Millis::new(4_000);
/// Time over which this node's own failed pings are counted for self-preservation.
const SELF_PRESERVATION_WINDOW: Millis = Millis::new(3_000);
/// Time without an event after which the process is known to have been paused. Ticks arrive
/// every 100 ms.
const PAUSE_THRESHOLD: Millis = Millis::new(1_000);

/// Chooses the nodes to ping and declares suspected nodes dead.
#[derive(Debug, Clone, Default)]
pub struct FailureDetector {
    next_ping: Instant,
    /// Number of pings, which selects the next link in turn.
    ping_count: usize,
    /// End time, target and success of this node's own pings in the last
    /// [`SELF_PRESERVATION_WINDOW`], oldest first.
    ping_results: VecDeque<(Instant, NodeId, bool)>,
    /// Whether most pings fail, so that this node itself is probably at fault. While it is set,
    /// no node is declared dead.
    is_self_preserving: bool,
    /// Whether every ping fails. Suspicions restart when one succeeds again.
    is_isolated: bool,
    last_event: Instant,
    /// End of the last pause of this process. The results of pings sent earlier are ignored.
    valid_from: Instant,
}

impl FailureDetector {
    /// Returns whether most pings fail, so that no node is declared dead.
    pub const fn is_self_preserving(&self) -> bool {
        self.is_self_preserving
    }

    /// Records the time of an event, and returns whether this process was paused before it.
    /// After a pause, suspicions restart, because refutations may be waiting unread.
    pub fn detect_pause(&mut self, table: &mut PeerTable, now: Instant) -> bool {
        let was_paused = now.since(self.last_event) > Micros::from(PAUSE_THRESHOLD);
        if was_paused {
            self.valid_from = now;
            self.ping_results.clear();
            table.restart_suspicions(now);
        }
        self.last_event = now;
        was_paused
    }

    /// Starts a ping period if one is due. Returns whether it did.
    pub fn start_ping_period(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_ping;
        if is_due {
            self.next_ping = now + PING_PERIOD;
        }
        is_due
    }

    /// Returns the next link to ping, in turn.
    pub fn next_link(&mut self, links: &[NodeId]) -> Option<NodeId> {
        self.ping_count = self.ping_count.wrapping_add(1);
        links.get(self.ping_count.checked_rem(links.len())?).cloned()
    }

    /// Records the result of a ping sent at `began`. Returns false if the result is ignored
    /// because this process was paused since.
    pub fn record(&mut self, target: &NodeId, began: Instant, ok: bool, now: Instant) -> bool {
        if began < self.valid_from {
            return false;
        }
        self.ping_results.push_back((now, target.clone(), ok));
        true
    }

    /// Updates whether this node is in self-preservation. Returns whether that changed.
    ///
    /// Each target counts once, by its last result. With few links, one dead peer is pinged
    /// twice in the window and must not count as a majority.
    pub fn update_self_preservation(&mut self, table: &mut PeerTable, now: Instant) -> bool {
        let window = Micros::from(SELF_PRESERVATION_WINDOW);
        while self.ping_results.front().is_some_and(|(at, ..)| now.since(*at) > window) {
            self.ping_results.pop_front();
        }
        if self.ping_results.is_empty() {
            return false;
        }
        let latest: BTreeMap<&NodeId, bool> =
            self.ping_results.iter().map(|(_, target, ok)| (target, *ok)).collect();
        let failed = latest.values().filter(|ok| !**ok).count();
        let was_self_preserving =
            std::mem::replace(&mut self.is_self_preserving, failed * 2 > latest.len());
        let was_isolated = std::mem::replace(&mut self.is_isolated, failed == latest.len());
        if was_isolated && !self.is_isolated {
            table.restart_suspicions(now);
        }
        was_self_preserving != self.is_self_preserving
    }

    /// Declares nodes dead whose suspicion has lasted for [`SUSPICION_TIMEOUT`], and returns
    /// them.
    pub fn expire_suspicions(&self, table: &mut PeerTable, now: Instant) -> Vec<NodeId> {
        if self.is_self_preserving {
            return Vec::new();
        }
        let mut dead = table.suspected_for(SUSPICION_TIMEOUT, now);
        dead.retain(|id| table.set_status(id, PeerStatus::Dead, now));
        dead
    }
}
