//! Version floor of a restarted node.

use std::collections::BTreeMap;

use crate::ids::{ConfigVersion, NodeId};
use crate::units::{Instant, Millis};

/// Time after which a link that has not answered is asked again.
const REQUEST_INTERVAL: Millis = Millis::new(250);

/// Keeps a started node from publishing a configuration until it knows its version floor, the
/// lowest version that it may publish.
///
/// Only the former links of a restarted node know which version it published before. The node
/// asks all of them before it publishes, so that its version never goes down.
#[derive(Debug, Clone, Default)]
pub struct FloorGate {
    /// Lowest version that the node may publish. Never goes down.
    floor: ConfigVersion,
    /// Whether the floor is known: every link has answered or was asked often enough. Stays set
    /// once it is.
    is_settled: bool,
    /// Whether a node that knows its own floor has answered.
    has_settled_answer: bool,
    requests: BTreeMap<NodeId, FloorRequest>,
}

/// State of the requests to one link for the version floor.
#[derive(Debug, Clone, Copy, Default)]
struct FloorRequest {
    answered: bool,
    count: u8,
    /// Whether the node was asked the maximum number of times and had time to answer.
    is_given_up: bool,
    next: Instant,
}

impl FloorRequest {
    const fn is_done(&self) -> bool {
        self.answered || self.is_given_up
    }
}

impl FloorGate {
    /// Returns the lowest version that the node may publish. It may still rise while the gate
    /// is not settled.
    pub const fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Returns whether the floor is known, so that the node may publish.
    pub const fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns whether `version` may be published.
    pub fn admits(&self, version: ConfigVersion) -> bool {
        self.is_settled && version >= self.floor
    }

    /// Raises the floor to a version that another node holds, unless the gate is settled.
    pub fn raise(&mut self, version: ConfigVersion) {
        if !self.is_settled {
            self.floor = self.floor.max(version);
        }
    }

    /// Records the answer of `node`, by which the floor is at least `version`. `is_settled` is
    /// whether `node` knows its own floor; if not, it has only just started and its answer does
    /// not rule out a higher version.
    pub fn answer(&mut self, node: &NodeId, version: ConfigVersion, is_settled: bool) {
        self.floor = self.floor.max(version);
        self.has_settled_answer |= is_settled;
        self.requests.entry(node.clone()).or_default().answered = true;
    }

    /// Returns the links to ask now. Each is asked at most `max_requests` times.
    pub fn due(&mut self, links: &[NodeId], max_requests: u8, now: Instant) -> Vec<NodeId> {
        if self.is_settled {
            return Vec::new();
        }
        let mut due = Vec::new();
        for link in links {
            let request = self.requests.entry(link.clone()).or_default();
            if request.is_done() || now < request.next {
                continue;
            }
            if request.count >= max_requests {
                request.is_given_up = true;
                continue;
            }
            request.count += 1;
            request.next = now + REQUEST_INTERVAL;
            due.push(link.clone());
        }
        due
    }

    /// Settles the gate if every link has answered or was given up, and either a settled node
    /// has answered or `waited` tells that none was found for long enough.
    pub fn settle(&mut self, links: &[NodeId], waited: bool) {
        let is_done = |link: &NodeId| self.requests.get(link).is_some_and(FloorRequest::is_done);
        let has_source = self.has_settled_answer || waited;
        self.is_settled = self.is_settled || has_source && links.iter().all(is_done);
        if self.is_settled {
            self.requests.clear();
        }
    }
}
