//! The comparison of two versions on one route.

use crate::ids::RouteName;
use crate::rollout::{
    BadCalls, CallStats, Comparison, EProcess, LatencyCounts, RouteFinding, RouteVerdict, Symptom,
};

/// The number of calls of each version from which a stratum is closed.
const MIN_STRATUM_CALLS: u32 = 8;
/// The number of windows after which a stratum is closed in any case: 10 min.
const MAX_STRATUM_WINDOWS: u64 = 60;
/// The number of calls since the last step from which a version may be judged no worse.
const MIN_STEP_CALLS: u64 = 100;
/// The largest share of the old version's calls that may count as slow. It sets the latency above
/// which a call is slow.
const SLOW_SHARE: f64 = 0.05;
/// The tolerated factor over the old version's earlier rate of bad calls once only the new
/// version has calls.
///
/// The rate of a good version drifts with the load and with other services, and there are no
/// calls of the old version in the same minutes to compare with.
const NEW_ONLY_TOLERATED_RATIO: f64 = 3.0;
/// The number of buckets by which the new version may be slower in addition once only it has
/// calls: two, a factor of 2 in time.
const NEW_ONLY_TOLERATED_BUCKETS: usize = 2;
/// The number of standard deviations, and also of calls, by which the old version's count of bad
/// calls is raised to get an upper bound.
const RATE_MARGIN: f64 = 3.0;

/// The call counts on one route over consecutive windows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RouteCounts {
    /// The calls of the new version on all of its hosts.
    pub(crate) new: CallStats,
    /// The calls of the new version on its fastest hosts, as known from earlier windows.
    pub(crate) fast_new: CallStats,
    /// The calls of the old version on all of its hosts.
    pub(crate) old: CallStats,
}

impl RouteCounts {
    fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.fast_new.add(&other.fast_new);
        self.old.add(&other.old);
    }
}

/// Consecutive windows whose calls are compared together.
#[derive(Debug, Clone, Default)]
struct Stratum {
    offset: u64,
    windows: u64,
    counts: RouteCounts,
}

/// The state of one sequential test on a route.
struct Test {
    symptom: Symptom,
    /// The natural logarithm of the evidence against the new version.
    ln_value: f64,
    new: BadCalls,
    old: BadCalls,
}

impl Test {
    fn new(symptom: Symptom, process: &EProcess, new: BadCalls, old: BadCalls) -> Self {
        Self { symptom, ln_value: process.ln_value(), new, old }
    }
}

/// Compares two versions on one route.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteJudge {
    open_stratum: Option<Stratum>,
    failing: EProcess,
    slow: EProcess,
    new_only_failing: EProcess,
    new_only_slow: EProcess,
    /// The latencies of the old version in closed strata.
    old_latency: LatencyCounts,
    /// The calls and failures of the new version in closed strata.
    new_total: BadCalls,
    /// The calls and failures of the old version in closed strata.
    old_total: BadCalls,
    /// The calls and slow calls of the new version on its fastest hosts, in closed strata.
    new_slow: BadCalls,
    /// The calls and slow calls of the old version in closed strata.
    old_slow: BadCalls,
    /// The calls and failures of the new version in windows in which only it takes calls.
    new_only_total: BadCalls,
    /// The calls and slow calls of the new version on its fastest hosts, in the same windows.
    new_only_slow_total: BadCalls,
    step_calls: u64,
    old_step_calls: u64,
    /// The first symptom whose evidence reached the limit. Never reset.
    detected: Option<Symptom>,
}

impl RouteJudge {
    /// Resets the counts of calls in the current step.
    pub(crate) fn begin_step(&mut self) {
        self.step_calls = 0;
        self.old_step_calls = 0;
    }

    /// Adds a window in which both versions took calls. The new version may be slower by
    /// `tolerated_buckets`.
    pub(crate) fn add_window(
        &mut self,
        offset: u64,
        window: &RouteCounts,
        tolerated_buckets: usize,
    ) {
        let stratum =
            self.open_stratum.get_or_insert_with(|| Stratum { offset, ..Stratum::default() });
        stratum.windows = offset - stratum.offset + 1;
        stratum.counts.add(window);
        let counts = &stratum.counts;
        let has_calls =
            counts.new.calls >= MIN_STRATUM_CALLS && counts.old.calls >= MIN_STRATUM_CALLS;
        if has_calls || stratum.windows >= MAX_STRATUM_WINDOWS {
            self.close(tolerated_buckets);
        }
    }

    /// Adds a window in which only the new version took calls, and compares it with the earlier
    /// rates of the old version.
    pub(crate) fn add_new_only_window(
        &mut self,
        offset: u64,
        window: &RouteCounts,
        tolerated_buckets: usize,
    ) {
        let (new, fast_new) = (&window.new, &window.fast_new);
        if let Some(rate) = tolerated_rate(self.old_total) {
            let counted = add(&mut self.new_only_total, new.calls, new.failures.into());
            self.new_only_failing.compare_with_rate(offset, counted, rate);
        }
        let Some(bucket) = self.slow_bucket() else { return };
        if let Some(rate) = tolerated_rate(self.old_slow) {
            let slow = fast_new
                .latency
                .count_above(bucket + tolerated_buckets + NEW_ONLY_TOLERATED_BUCKETS);
            let counted = add(&mut self.new_only_slow_total, fast_new.calls, slow);
            self.new_only_slow.compare_with_rate(offset, counted, rate);
        }
    }

    /// Adds a window's calls to the counts of the current step.
    pub(crate) fn count_in_step(&mut self, window: &RouteCounts) {
        self.step_calls += u64::from(window.new.calls);
        self.old_step_calls += u64::from(window.old.calls);
    }

    /// Detects a symptom if the logarithm of the evidence for it has reached `limit_ln`.
    pub(crate) fn decide(&mut self, limit_ln: f64) {
        let tests = self.tests();
        let over = tests.iter().find(|test| test.ln_value >= limit_ln);
        self.detected = self.detected.or(over.map(|test| test.symptom));
    }

    /// Returns the state of every test. Failures come first, as they are the clearer reason.
    fn tests(&self) -> [Test; 4] {
        use Symptom::{Failing, Slow};
        [
            Test::new(Failing, &self.failing, self.new_total, self.old_total),
            Test::new(Failing, &self.new_only_failing, self.new_only_total, self.old_total),
            Test::new(Slow, &self.slow, self.new_slow, self.old_slow),
            Test::new(Slow, &self.new_only_slow, self.new_only_slow_total, self.old_slow),
        ]
    }

    /// Returns the finding on this judge's route, `route`, with a warning if the logarithm of the
    /// evidence of a test has reached `warning_ln`.
    pub(crate) fn finding(
        &self,
        route: &RouteName,
        is_idempotent: bool,
        warning_ln: f64,
    ) -> RouteFinding {
        let has_warning = self.tests().iter().any(|test| test.ln_value >= warning_ln);
        let verdict = match self.detected {
            Some(symptom) => RouteVerdict::Worse(symptom),
            None if has_warning || self.step_calls < MIN_STEP_CALLS => RouteVerdict::Inconclusive,
            None => RouteVerdict::NoWorse,
        };
        let has_symptom =
            |test: &&Test| self.detected.is_none_or(|detected| detected == test.symptom);
        let tests = self.tests();
        let strongest =
            tests.iter().filter(has_symptom).max_by(|a, b| a.ln_value.total_cmp(&b.ln_value));
        let (new, old) =
            strongest.map_or((self.new_total, self.old_total), |test| (test.new, test.old));
        RouteFinding {
            route: route.clone(),
            is_idempotent,
            verdict,
            has_warning,
            judged_calls: self.new_total.calls,
            step_calls: self.step_calls,
            old_step_calls: self.old_step_calls,
            new,
            old,
        }
    }

    fn close(&mut self, tolerated_buckets: usize) {
        let Some(Stratum { offset, counts, .. }) = self.open_stratum.take() else { return };
        let RouteCounts { new, fast_new, old } = counts;
        let new_failing = add(&mut self.new_total, new.calls, new.failures.into());
        let old_failing = add(&mut self.old_total, old.calls, old.failures.into());
        self.failing.compare(offset, Comparison::of(new_failing, old_failing));
        // The slow bucket comes from earlier strata, as it must not depend on the calls compared.
        if let Some(bucket) = self.slow_bucket() {
            let slow = fast_new.latency.count_above(bucket + tolerated_buckets);
            let new_slow = add(&mut self.new_slow, fast_new.calls, slow);
            let old_slow = add(&mut self.old_slow, old.calls, old.latency.count_above(bucket));
            self.slow.compare(offset, Comparison::of(new_slow, old_slow));
        }
        self.old_latency.add(&old.latency);
    }

    fn slow_bucket(&self) -> Option<usize> {
        self.old_latency.quantile_bucket(SLOW_SHARE)
    }
}

/// Adds `calls` and `bad` to `total` and returns them as counts of their own.
fn add(total: &mut BadCalls, calls: u32, bad: u64) -> BadCalls {
    total.calls += u64::from(calls);
    total.bad += bad;
    BadCalls { calls: calls.into(), bad }
}

/// Returns the tolerated rate of bad calls, from an upper bound of the rate in `old`; `None`
/// without calls in `old`.
fn tolerated_rate(old: BadCalls) -> Option<f64> {
    let bad = old.bad as f64;
    let upper = bad + RATE_MARGIN * bad.sqrt() + RATE_MARGIN;
    (old.calls > 0).then(|| (NEW_ONLY_TOLERATED_RATIO * upper / old.calls as f64).min(1.0))
}
