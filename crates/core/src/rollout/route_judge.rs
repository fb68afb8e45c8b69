//! The comparison of two versions on one route.

use crate::ids::RouteName;
use crate::rollout::{
    BadCalls, CallStats, Comparison, EProcess, LatencyCounts, RouteFinding, RouteVerdict, Symptom,
};

/// Number of calls that each version must have in a stratum before it is closed.
const MIN_STRATUM_CALLS: u32 = 8;
/// Number of windows after which a stratum is closed in any case: 10 min.
const MAX_STRATUM_WINDOWS: u64 = 60;
/// Number of calls since the last step from which a version may be called no worse.
const MIN_STEP_CALLS: u64 = 100;
/// The share of the old version's calls above which a latency is slow, at most.
const SLOW_SHARE: f64 = 0.05;
/// The factor over the old version's last rate that is tolerated once it has no calls.
///
/// Without calls of the old version in the same minutes, the rate of a good
/// version drifts with the load and with other services.
const NEW_ONLY_TOLERATED_RATIO: f64 = 3.0;
/// Number of buckets by which it may be slower in addition then: a factor of 2 in time.
const NEW_ONLY_TOLERATED_BUCKETS: usize = 2;
/// Number of standard deviations and of calls added to the old version's count of bad calls.
const RATE_MARGIN: f64 = 3.0;

/// The counts of a run of windows on one route.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RouteCounts {
    /// The calls of the new version.
    pub(crate) new: CallStats,
    /// Those of them on its fastest hosts, as known from earlier windows.
    pub(crate) fast_new: CallStats,
    /// The calls of the old version.
    pub(crate) old: CallStats,
}

impl RouteCounts {
    fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.fast_new.add(&other.fast_new);
        self.old.add(&other.old);
    }
}

/// A run of windows that is compared as a whole.
#[derive(Debug, Clone, Default)]
struct Stratum {
    offset: u64,
    windows: u64,
    counts: RouteCounts,
}

/// The state of one test of a route.
struct Test {
    symptom: Symptom,
    /// The logarithm of the evidence.
    ln_value: f64,
    new: BadCalls,
    old: BadCalls,
}

impl Test {
    fn new(symptom: Symptom, process: &EProcess, new: BadCalls, old: BadCalls) -> Self {
        Self { symptom, ln_value: process.ln_value(), new, old }
    }
}

/// The comparison of two versions on one route.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteJudge {
    open_stratum: Option<Stratum>,
    failing: EProcess,
    slow: EProcess,
    new_only_failing: EProcess,
    new_only_slow: EProcess,
    /// The old version's latencies in closed strata.
    old_latency: LatencyCounts,
    /// Both versions' calls and failures in closed strata.
    new_total: BadCalls,
    old_total: BadCalls,
    /// Both versions' calls and slow calls in closed strata; the new one's on its fastest hosts.
    new_slow: BadCalls,
    old_slow: BadCalls,
    /// The new version's calls, failures and slow calls in windows without the old one.
    new_only_total: BadCalls,
    new_only_slow_total: BadCalls,
    step_calls: u64,
    old_step_calls: u64,
    /// The first symptom whose evidence exceeded the limit. Stays once set.
    detected: Option<Symptom>,
}

impl RouteJudge {
    /// Begins a new step of the rollout.
    pub(crate) fn begin_step(&mut self) {
        self.step_calls = 0;
        self.old_step_calls = 0;
    }

    /// Takes a window in which both versions were to have calls. The new version
    /// may be slower by `tolerated_buckets` buckets.
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

    /// Takes a window in which only the new version was to have calls.
    ///
    /// It is compared with the old version's rates before that.
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
            let slow =
                fast_new.latency.above(bucket + tolerated_buckets + NEW_ONLY_TOLERATED_BUCKETS);
            let counted = add(&mut self.new_only_slow_total, fast_new.calls, slow);
            self.new_only_slow.compare_with_rate(offset, counted, rate);
        }
    }

    /// Counts a window's calls to the current step.
    pub(crate) fn count_in_step(&mut self, window: &RouteCounts) {
        self.step_calls += u64::from(window.new.calls);
        self.old_step_calls += u64::from(window.old.calls);
    }

    /// Blames the new version if the evidence exceeds the logarithm `limit_ln`.
    pub(crate) fn decide(&mut self, limit_ln: f64) {
        let tests = self.tests();
        let over = tests.iter().find(|test| test.ln_value >= limit_ln);
        self.detected = self.detected.or(over.map(|test| test.symptom));
    }

    /// Every test. Failures go first, as they are the plainer reason.
    fn tests(&self) -> [Test; 4] {
        use Symptom::{Failing, Slow};
        [
            Test::new(Failing, &self.failing, self.new_total, self.old_total),
            Test::new(Failing, &self.new_only_failing, self.new_only_total, self.old_total),
            Test::new(Slow, &self.slow, self.new_slow, self.old_slow),
            Test::new(Slow, &self.new_only_slow, self.new_only_slow_total, self.old_slow),
        ]
    }

    /// What is found on `route`, this judge's route; doubtful from the evidence `warning_ln` on.
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
        // The threshold comes from earlier strata, so that it does not depend on this one's calls.
        if let Some(bucket) = self.slow_bucket() {
            let slow = fast_new.latency.above(bucket + tolerated_buckets);
            let new_slow = add(&mut self.new_slow, fast_new.calls, slow);
            let old_slow = add(&mut self.old_slow, old.calls, old.latency.above(bucket));
            self.slow.compare(offset, Comparison::of(new_slow, old_slow));
        }
        self.old_latency.add(&old.latency);
    }

    fn slow_bucket(&self) -> Option<usize> {
        self.old_latency.quantile_bucket(SLOW_SHARE)
    }
}

/// Adds calls to a total and returns them.
fn add(total: &mut BadCalls, calls: u32, bad: u64) -> BadCalls {
    total.calls += u64::from(calls);
    total.bad += bad;
    BadCalls { calls: calls.into(), bad }
}

/// The rate that is tolerated where `old` is all that is known; `None` if nothing is.
fn tolerated_rate(old: BadCalls) -> Option<f64> {
    let bad = old.bad as f64;
    let upper = bad + RATE_MARGIN * bad.sqrt() + RATE_MARGIN;
    (old.calls > 0).then(|| (NEW_ONLY_TOLERATED_RATIO * upper / old.calls as f64).min(1.0))
}
