//! The version floor of a node that was started.

use std::collections::BTreeMap;

use crate::ids::{ConfigVersion, NodeId};
use crate::units::{Instant, Millis};

/// A link that does not answer is asked again after this time.
const REQUEST_INTERVAL: Millis = Millis::new(250);

/// Holds a started node back from traffic until it knows the version that it must have.
///
/// A node may have been in force with a version before it was restarted, which
/// only its former links remember. It asks all of them before it publishes.
#[derive(Debug, Clone, Default)]
pub struct FloorGate {
    /// The node publishes no version below this one. Never goes down.
    floor: ConfigVersion,
    /// Whether every link has answered or was asked often enough. Stays set once it is.
    is_settled: bool,
    /// Whether a settled node has answered.
    has_settled_answer: bool,
    requests: BTreeMap<NodeId, FloorRequest>,
}

#[derive(Debug, Clone, Copy, Default)]
struct FloorRequest {
    answered: bool,
    count: u8,
    /// Whether the node was asked often enough and had time to answer.
    is_given_up: bool,
    next: Instant,
}

impl FloorRequest {
    const fn is_done(&self) -> bool {
        self.answered || self.is_given_up
    }
}

impl FloorGate {
    /// The lowest version that the node may publish, as far as it is known.
    pub const fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Whether the floor is known.
    pub const fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether `version` may be published.
    pub fn admits(&self, version: ConfigVersion) -> bool {
        self.is_settled && version >= self.floor
    }

    /// Takes a version that another node holds; a node that is not settled must have it too.
    pub fn raise(&mut self, version: ConfigVersion) {
        if !self.is_settled {
            self.floor = self.floor.max(version);
        }
    }

    /// Takes the answer of `node`: this node must have `version`. The answer of
    /// a node that is not settled itself is no proof that there was none.
    pub fn answer(&mut self, node: &NodeId, version: ConfigVersion, is_settled: bool) {
        self.floor = self.floor.max(version);
        self.has_settled_answer |= is_settled;
        self.requests.entry(node.clone()).or_default().answered = true;
    }

    /// The links that are to be asked now; each is asked `max_asks` times at most.
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

    /// Settles if no link is still to answer and a settled node has answered, or
    /// `waited` tells that none has been found for long enough.
    pub fn settle(&mut self, links: &[NodeId], waited: bool) {
        let is_done = |link: &NodeId| self.requests.get(link).is_some_and(FloorRequest::is_done);
        let has_source = self.has_settled_answer || waited;
        self.is_settled = self.is_settled || has_source && links.iter().all(is_done);
        if self.is_settled {
            self.requests.clear();
        }
    }
}
