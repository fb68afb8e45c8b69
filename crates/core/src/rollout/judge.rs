//! The comparison of the new version with the old one.

use std::collections::BTreeMap;

use crate::config::Rollout;
use crate::ids::{RouteName, ServiceName, VersionName};
use crate::rollout::host_latencies::HostLatencies;
use crate::rollout::route_judge::{RouteCounts, RouteJudge};
use crate::rollout::{CallStats, Evidence, RouteFinding, Window};
use crate::units::{Millis, PerMille, UnixMillis};

/// The probability that the judge ever finds a version that is no worse to be worse, over all
/// routes, symptoms and evaluations of a rollout together.
pub const FALSE_ALARM_RATE: f64 = 0.01;
/// The largest difference between the clocks of two hosts that is tolerated.
pub const MAX_CLOCK_SKEW: Millis = Millis::new(500);
/// The probability that a version that is no worse ever gets a warning on any route.
const WARNING_RATE: f64 = 0.2;
/// The time from the end of a window until it is compared: a report interval,
/// [`MAX_CLOCK_SKEW`] and 500 ms for transmission.
pub(crate) const SETTLE_TIME: Millis = Millis::new(6_000);
/// The time until a step is in force on every node: 4 s, and [`MAX_CLOCK_SKEW`].
pub(crate) const IN_FORCE_TIME: Millis = Millis::new(4_500);
/// The share of the new version's calls refused in a window above which it is overloaded.
const OVERLOAD_REFUSED_SHARE: f64 = 0.01;
/// The number of tests on each route: two symptoms, each with and without calls of the old
/// version.
const TESTS_PER_ROUTE: f64 = 4.0;

/// Compares the new version of a rollout with the old one on each route.
///
/// All of its state can be recomputed from the evidence.
#[derive(Debug, Clone)]
pub struct Judge {
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    started: UnixMillis,
    /// The start of the step whose calls the route judges count as step calls.
    step_start: UnixMillis,
    /// The first window that has not been judged.
    next: Window,
    /// The comparison on each of the service's routes.
    routes: BTreeMap<RouteName, RouteJudge>,
    /// Whether the calls of each route are idempotent. Has the same keys as `routes`.
    idempotency: BTreeMap<RouteName, bool>,
    /// The latencies of each host in the windows judged so far.
    hosts: HostLatencies,
}

impl Judge {
    /// Creates a judge of `rollout` that has judged no window. `idempotency` tells for each of the
    /// service's routes whether its calls are idempotent.
    pub fn new(rollout: &Rollout, idempotency: &BTreeMap<RouteName, bool>) -> Self {
        let judges = idempotency.keys().map(|route| (route.clone(), RouteJudge::default()));
        Self {
            service: rollout.service.clone(),
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            started: rollout.started,
            step_start: rollout.changed,
            next: Window::at(rollout.started).next(),
            routes: judges.collect(),
            idempotency: idempotency.clone(),
            hosts: HostLatencies::default(),
        }
    }

    /// Returns whether this judge was created for the same rollout and the same `idempotency`.
    pub fn matches(&self, rollout: &Rollout, idempotency: &BTreeMap<RouteName, bool>) -> bool {
        self.service == rollout.service
            && self.from == rollout.from
            && self.to == rollout.to
            && self.started == rollout.started
            && self.idempotency == *idempotency
    }

    /// Judges the further windows whose reports have arrived at `now`.
    pub fn advance(&mut self, rollout: &Rollout, evidence: &Evidence, now: UnixMillis) {
        if self.step_start != rollout.changed {
            self.step_start = rollout.changed;
            self.routes.values_mut().for_each(RouteJudge::begin_step);
        }
        let settled = UnixMillis::new(now.get().saturating_sub(SETTLE_TIME.get()));
        let end = Window::at(settled);
        if end <= self.next {
            return;
        }
        let last = Window::new(end.get() - 1);
        let limit_ln = self.limit_ln(FALSE_ALARM_RATE);
        for window in evidence.windows(self.next, last) {
            self.judge(rollout, evidence, window);
            // Deciding after each window makes a judge that catches up reach the same results as
            // one that ran all the time.
            self.routes.values_mut().for_each(|judge| judge.decide(limit_ln));
        }
        self.next = end;
    }

    /// Returns the finding on each route, in the order of route names.
    pub fn findings(&self) -> Vec<RouteFinding> {
        let warning_ln = self.limit_ln(WARNING_RATE);
        let finding = |(route, judge): (&RouteName, &RouteJudge)| {
            judge.finding(route, self.idempotency[route], warning_ln)
        };
        self.routes.iter().map(finding).collect()
    }

    /// Returns the logarithm of the evidence that, for a version that is no worse, any of the tests
    /// ever exceeds with probability `rate` at most.
    fn limit_ln(&self, rate: f64) -> f64 {
        (self.routes.len() as f64 * TESTS_PER_ROUTE / rate).ln()
    }

    fn judge(&mut self, rollout: &Rollout, evidence: &Evidence, window: Window) {
        let offset = window.since(Window::at(self.started));
        let is_in_step = window.start() >= rollout.changed + IN_FORCE_TIME;
        let counts = self.counts(evidence, window);
        let tolerated_buckets = self.hosts.tolerated_buckets();
        let is_overloaded = is_overloaded(counts.values());
        for (route, judge) in &mut self.routes {
            let Some(counts) = counts.get(route) else { continue };
            if is_in_step {
                judge.count_in_step(counts);
            }
            let is_new_only =
                is_in_step && share_of(rollout, self.idempotency[route]) == PerMille::MAX;
            match (is_new_only, is_overloaded) {
                (false, _) => judge.add_window(offset, counts, tolerated_buckets),
                (true, false) => judge.add_new_only_window(offset, counts, tolerated_buckets),
                // Without calls of the old version, an overload looks like a bad version.
                (true, true) => {}
            }
        }
        self.count_hosts(evidence, window);
    }

    /// Returns the counts of `window` by route.
    fn counts<'a>(
        &self,
        evidence: &'a Evidence,
        window: Window,
    ) -> BTreeMap<&'a RouteName, RouteCounts> {
        let fast_limit = self.hosts.fast_limit();
        let mut counts: BTreeMap<&RouteName, RouteCounts> = BTreeMap::new();
        for (route, version, node, stats) in evidence.window(window) {
            let counts = counts.entry(route).or_default();
            if *version == self.to {
                counts.new.add(stats);
                if self.hosts.is_fast(node, fast_limit) {
                    counts.fast_new.add(stats);
                }
            } else if *version == self.from {
                counts.old.add(stats);
            }
        }
        counts
    }

    fn count_hosts(&mut self, evidence: &Evidence, window: Window) {
        for (_, version, node, stats) in evidence.window(window) {
            if *version == self.to || *version == self.from {
                self.hosts.add(*version == self.to, node, &stats.latency);
            }
        }
    }
}

/// Returns whether the nodes of the new version refused more than [`OVERLOAD_REFUSED_SHARE`] of
/// their calls.
fn is_overloaded<'a>(counts: impl Iterator<Item = &'a RouteCounts>) -> bool {
    let mut total = CallStats::default();
    counts.for_each(|counts| total.add(&counts.new));
    total.refused_share() > OVERLOAD_REFUSED_SHARE
}

/// Returns the new version's current share of the calls of idempotent or non-idempotent routes.
pub(crate) const fn share_of(rollout: &Rollout, is_idempotent: bool) -> PerMille {
    if is_idempotent { rollout.share } else { rollout.non_idempotent_share }
}
