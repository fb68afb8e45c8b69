//! What happened to the fleet in a run.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ConfigHistory, NODES, NodeTimeline, Windows};

/// Time from the acknowledgement of a configuration until it is in force at all nodes in contact.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// Time after which a server that leaves gets no more calls.
const DEPARTURE: Duration = Duration::from_secs(3);
/// Time after which callers have left a node that stops: two readiness checks, a second apart.
const CALLERS_LEAVE: Duration = Duration::from_secs(2);
/// How long calls may fail after the end of a fault that they met.
const AFTER_FAULT: Duration = Duration::from_secs(1);

/// What happened to the fleet in a run, as far as it bears on what the nodes promise. Times are
/// since the start of the run.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    /// The configurations.
    pub configs: ConfigHistory,
    /// The nodes in the order of their numbers.
    pub nodes: [NodeTimeline; NODES],
    /// When the store answered no node that ran.
    pub without_store: Windows,
    /// When each server that has left told its node.
    pub departures: BTreeMap<String, Duration>,
    /// The longest time by which the machine held up the run itself; added to all time limits.
    pub host_delay: Duration,
}

impl Timeline {
    /// Returns whether what the store acknowledged at `changed` must be in force at `node` at `at`.
    /// The limit counts anew from the end of a time without the store, and from that of a pause of
    /// the node.
    pub fn is_due(&self, node: usize, changed: Duration, at: Duration) -> bool {
        let contact = [
            self.without_store.last_end(at).unwrap_or_default(),
            self.nodes[node].pauses.last_end(at).unwrap_or_default(),
        ];
        let since = contact.into_iter().fold(changed, Duration::max);
        at >= since + IN_FORCE + self.host_delay
    }

    /// Returns whether a fault explains that a call between `from` and `to` has no answer of a
    /// server, or failed there.
    pub fn explains_failure(&self, from: Duration, to: Duration) -> bool {
        let after = AFTER_FAULT + self.host_delay;
        self.nodes.iter().any(|node| {
            let faults = [&node.crashes, &node.pauses, &node.server_faults];
            faults.into_iter().any(|windows| windows.overlap(from, to, after))
        })
    }

    /// Returns whether an end of `node`'s process explains that a call between `from` and `to` has
    /// no answer at all. A planned stop cuts no call, except one that is sent when callers must have
    /// left, and that has not run.
    pub fn explains_cut(&self, node: usize, from: Duration, to: Duration, has_run: bool) -> bool {
        let node = &self.nodes[node];
        let is_late = node.stops.overlap(from, to, AFTER_FAULT)
            && node.stops.last_begin(to).is_some_and(|stop| from >= stop + CALLERS_LEAVE);
        node.crashes.overlap(from, to, self.host_delay)
            || (is_late && !has_run)
            || (node.stops.overlap(from, to, AFTER_FAULT)
                && node.pauses.overlap(from, to, AFTER_FAULT))
    }

    /// Returns whether `server` must get no more calls at `at`.
    pub fn has_departed(&self, server: &str, at: Duration) -> bool {
        let departed = self.departures.get(server);
        departed.is_some_and(|departed| at >= *departed + DEPARTURE + self.host_delay)
    }
}
