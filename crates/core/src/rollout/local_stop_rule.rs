//! The rule by which a node stops a version whose calls it sees fail.

use std::collections::BTreeMap;

use crate::ids::RouteName;
use crate::rollout::{BadCalls, Comparison, EProcess};
use crate::units::{Millis, UnixMillis};

/// The probability that any node stops a version that is no worse during a rollout, over all
/// nodes, routes and evaluations together.
pub const LOCAL_FALSE_ALARM_RATE: f64 = 0.001;
/// The smallest number of calls of each version in a stratum that is compared.
const MIN_STRATUM_CALLS: u64 = 4;
/// The time after which an incomplete stratum is dropped, as its calls are too far apart to
/// compare.
const MAX_STRATUM_SPAN: Millis = Millis::new(60_000);

/// The comparison on one route, from the calls that this node sent.
#[derive(Debug, Clone, Default)]
struct LocalRoute {
    /// The time of the first call in the open stratum.
    stratum_start: UnixMillis,
    /// The time of the latest counted call.
    last_counted: UnixMillis,
    new: BadCalls,
    old: BadCalls,
    /// The number of strata compared so far.
    strata: u64,
    failing: EProcess,
    /// Whether the evidence has ever reached the limit.
    is_stopped: bool,
}

/// The rule by which a node that sends calls to both versions stops the new one.
///
/// It compares the calls that the node itself sent on the same route in the same seconds, so an
/// overload or a fault that affects both versions stops neither. It ignores latency. Calls that
/// are counted at the same time belong to one stratum, so the order in which they are counted has
/// no effect.
#[derive(Debug, Clone)]
pub struct LocalStopRule {
    /// The natural logarithm of the evidence at which the version is stopped.
    limit_ln: f64,
    /// The comparison on each route of the service that has had calls.
    routes: BTreeMap<RouteName, LocalRoute>,
}

impl LocalStopRule {
    /// Creates the rule for a rollout of a service with `routes` routes, called by `nodes` nodes.
    pub fn new(nodes: usize, routes: usize) -> Self {
        let tests = (nodes.max(1) * routes.max(1)) as f64;
        Self { limit_ln: (tests / LOCAL_FALSE_ALARM_RATE).ln(), routes: BTreeMap::new() }
    }

    /// Counts `calls` calls that ended at `now` with the same outcome, and returns whether the new
    /// version must be stopped on `route`.
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
    /// Closes the open stratum if a call at `now` no longer belongs to it, and returns whether it
    /// was compared.
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
