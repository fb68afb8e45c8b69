//! The rule by which a node stops a version that it sees fail.

use std::collections::BTreeMap;

use crate::ids::RouteName;
use crate::rollout::{BadCalls, Comparison, EProcess};
use crate::units::{Millis, UnixMillis};

/// The probability that any node stops a version that is no worse during a
/// rollout, over all nodes, routes and looks together.
pub const LOCAL_FALSE_ALARM_RATE: f64 = 0.001;
/// Number of calls that each version must have in a stratum before it is closed.
const MIN_STRATUM_CALLS: u64 = 4;
/// The time after which an open stratum is dropped: its calls are too far apart.
const MAX_STRATUM_SPAN: Millis = Millis::new(60_000);

/// One route as the node sees it.
#[derive(Debug, Clone, Default)]
struct LocalRoute {
    /// When the open stratum began.
    stratum_start: UnixMillis,
    /// When a call was last counted.
    last_counted: UnixMillis,
    new: BadCalls,
    old: BadCalls,
    /// The number of closed strata.
    strata: u64,
    failing: EProcess,
    /// Whether the evidence once exceeded the limit.
    is_stopped: bool,
}

/// The rule by which a node that sends calls to both versions stops the new one.
///
/// The node compares the calls that it sent itself, on the same route in the
/// same seconds, so an overload or a fault that hits both versions stops
/// neither. It does not judge latency. Calls that are counted at the same time
/// belong to one stratum, so the order in which they are counted has no effect.
#[derive(Debug, Clone)]
pub struct LocalRule {
    /// The logarithm of the evidence from which the version is stopped.
    limit_ln: f64,
    /// One entry for each route of the service that had calls.
    routes: BTreeMap<RouteName, LocalRoute>,
}

impl LocalRule {
    /// The rule for a rollout of a service with `routes` routes, called by `nodes` nodes.
    pub fn new(nodes: usize, routes: usize) -> Self {
        let tests = (nodes.max(1) * routes.max(1)) as f64;
        Self { limit_ln: (tests / LOCAL_FALSE_ALARM_RATE).ln(), routes: BTreeMap::new() }
    }

    /// Counts calls that ended alike at `now` and states whether the new version must be stopped.
    pub fn record(
        &mut self,
        now: UnixMillis,
        route: &RouteName,
        is_new: bool,
        has_failed: bool,
        calls: u32,
    ) -> bool {
        let local = match self.routes.get_mut(route) {
            Some(local) => local,
            None => self.routes.entry(route.clone()).or_default(),
        };
        if local.end_stratum(now) {
            local.is_stopped |= local.failing.ln_value() >= self.limit_ln;
        }
        local.count(is_new, has_failed, calls);
        local.is_stopped
    }
}

impl LocalRoute {
    /// Ends the open stratum if a call at `now` no longer belongs to it, and
    /// states whether it had enough calls to be compared.
    fn end_stratum(&mut self, now: UnixMillis) -> bool {
        let is_same_time = now == self.last_counted;
        self.last_counted = now;
        let is_full = self.new.calls >= MIN_STRATUM_CALLS && self.old.calls >= MIN_STRATUM_CALLS;
        let is_over = is_full || now.since(self.stratum_start) >= MAX_STRATUM_SPAN;
        if is_same_time || !is_over {
            return false;
        }
        if is_full {
            self.failing.compare(self.strata, Comparison::of(self.new, self.old));
            self.strata += 1;
        }
        self.stratum_start = now;
        self.new = BadCalls::default();
        self.old = BadCalls::default();
        is_full
    }

    fn count(&mut self, is_new: bool, has_failed: bool, calls: u32) {
        let version = if is_new { &mut self.new } else { &mut self.old };
        version.calls += u64::from(calls);
        version.bad += if has_failed { u64::from(calls) } else { 0 };
    }
}
