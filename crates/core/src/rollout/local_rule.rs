//! The rule by which a node stops a version that it sees fail.

use std::collections::BTreeMap;

use crate::ids::RouteName;
use crate::rollout::{BadCalls, Comparison, EProcess, Window};
use crate::units::UnixMillis;

/// The probability that any node stops a version that is no worse during a
/// rollout, over all nodes, routes and looks together.
pub const LOCAL_FALSE_ALARM_RATE: f64 = 0.001;
/// Number of calls that each version must have in a stratum before it is closed.
const STRATUM_CALLS: u64 = 4;
/// Number of windows after which an open stratum is dropped: its calls are too far apart in time.
const STRATUM_WINDOWS: u64 = 6;

/// One route as the node sees it.
#[derive(Debug, Clone, Default)]
struct LocalRoute {
    first: Window,
    new: BadCalls,
    old: BadCalls,
    /// The number of closed strata.
    strata: u64,
    failing: EProcess,
    /// Whether the evidence once exceeded the limit.
    is_blamed: bool,
}

/// The rule by which a node that sends calls to both versions stops the new one.
///
/// The node compares the calls that it sent itself, on the same route in the
/// same seconds, so an overload or a fault that hits both versions stops
/// neither. It does not judge latency.
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

    /// Counts a call that ended at `now` and states whether the new version must be stopped.
    pub fn record(
        &mut self,
        now: UnixMillis,
        route: &RouteName,
        is_new: bool,
        has_failed: bool,
    ) -> bool {
        let local = match self.routes.get_mut(route) {
            Some(local) => local,
            None => self.routes.entry(route.clone()).or_default(),
        };
        if local.record(Window::at(now), is_new, has_failed) {
            local.is_blamed |= local.failing.ln_value() >= self.limit_ln;
        }
        local.is_blamed
    }
}

impl LocalRoute {
    /// Counts a call and states whether it closed a stratum.
    fn record(&mut self, window: Window, is_new: bool, has_failed: bool) -> bool {
        if window.since(self.first) >= STRATUM_WINDOWS {
            self.first = window;
            self.new = BadCalls::default();
            self.old = BadCalls::default();
        }
        let version = if is_new { &mut self.new } else { &mut self.old };
        version.calls += 1;
        version.bad += u64::from(has_failed);
        let is_full = self.new.calls >= STRATUM_CALLS && self.old.calls >= STRATUM_CALLS;
        if is_full {
            self.close(window);
        }
        is_full
    }

    fn close(&mut self, window: Window) {
        self.failing.compare(self.strata, Comparison::of(self.new, self.old));
        self.strata += 1;
        self.first = window;
        self.new = BadCalls::default();
        self.old = BadCalls::default();
    }
}
