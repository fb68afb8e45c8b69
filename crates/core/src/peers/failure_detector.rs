//! The failure detector.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::NodeId;
use crate::peers::{PeerStatus, PeerTable};
use crate::units::{Instant, Micros, Millis};

/// One link is pinged in each period.
pub const PING_PERIOD: Millis = Millis::new(1_000);
/// A ping without an answer for this long has failed.
pub const PING_TIMEOUT: Millis = Millis::new(500);
/// A suspicion that is not refuted for this long ends in death.
pub const SUSPICION_TIMEOUT: Millis = Millis::new(4_000);
/// The time over which this node's own failed pings are counted.
const SELF_PRESERVATION_WINDOW: Millis = Millis::new(3_000);
/// A process that handles no event for this long was paused: ticks come every 100 ms.
const PAUSE_THRESHOLD: Millis = Millis::new(1_000);

/// Decides whom to ping and which suspicions end in death.
#[derive(Debug, Clone, Default)]
pub struct FailureDetector {
    /// When the next link is to be pinged.
    next_ping: Instant,
    /// Counts the pings, to take the links in turn.
    ping_count: usize,
    /// The ends of this node's own pings in the last [`SELF_PRESERVATION_WINDOW`], oldest first.
    ping_results: VecDeque<(Instant, NodeId, bool)>,
    /// Whether this node is probably itself at fault; then it declares nobody dead.
    is_self_preserving: bool,
    /// Whether every ping failed: suspicions begin anew when one succeeds again.
    is_isolated: bool,
    /// When the last event was handled.
    last_event: Instant,
    /// Pings that began before this time tell nothing, because this process was paused since.
    valid_from: Instant,
}

impl FailureDetector {
    /// Whether this node is in self-preservation.
    pub const fn is_self_preserving(&self) -> bool {
        self.is_self_preserving
    }

    /// Notes that an event comes in. After a pause of this process the
    /// suspicions begin anew, because refutations may wait unread. Returns
    /// whether there was a pause.
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

    /// Whether a ping period begins.
    pub fn start_ping_period(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_ping;
        if is_due {
            self.next_ping = now + PING_PERIOD;
        }
        is_due
    }

    /// The link whose turn it is.
    pub fn next_link(&mut self, links: &[NodeId]) -> Option<NodeId> {
        self.ping_count = self.ping_count.wrapping_add(1);
        links.get(self.ping_count.checked_rem(links.len())?).cloned()
    }

    /// Takes the result of a ping that began at `began`. Returns whether it counts.
    pub fn record(&mut self, target: &NodeId, began: Instant, ok: bool, now: Instant) -> bool {
        if began < self.valid_from {
            return false;
        }
        self.ping_results.push_back((now, target.clone(), ok));
        true
    }

    /// Decides anew whether this node is in self-preservation; returns whether that changed.
    ///
    /// Each target counts once, by its last result: with few links, one dead
    /// peer is pinged twice in the window and must not look like a majority.
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

    /// Declares the nodes dead whose suspicion was not refuted in time.
    pub fn expire_suspicions(&self, table: &mut PeerTable, now: Instant) -> Vec<NodeId> {
        if self.is_self_preserving {
            return Vec::new();
        }
        let mut dead = table.suspected_for(SUSPICION_TIMEOUT, now);
        dead.retain(|id| table.set_status(id, PeerStatus::Dead, now));
        dead
    }
}
