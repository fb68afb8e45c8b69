//! Decides whether a new version is worse than the old one where no route has enough calls.

use crate::fleet::{BadCalls, RolloutEvidence, RouteEvidence, VersionFault};

/// Compares a new version with the old one by the calls of all routes together, if most of them are
/// on routes with few calls.
///
/// Calls are compared within windows of time, in which both versions meet the same load and about the
/// same mix of routes. A call is bad if it fails, or takes four times the median of the old version's
/// calls on all routes. The bad calls of the new version are compared with the number that the old
/// version's share in the same windows gives. A window in which only the new version gets calls is
/// compared with the old version's worst window, as the mix or the load may have changed.
///
/// Where both versions have calls on the same routes, these must confirm that the new version is
/// worse, and that its calls did not only go to slower routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SparseJudge;

impl SparseJudge {
    /// Fewer bad calls of the new version than this prove nothing.
    const MIN_BAD_CALLS: f64 = 6.0;
    /// The share of its calls by which the new version's bad calls must exceed the expected ones.
    const BAD_SHARE_MARGIN: f64 = 0.15;
    /// The number of standard deviations by which they must exceed them.
    const MIN_DEVIATIONS: f64 = 4.0;
    /// The smallest assumed share of bad calls, so that few calls of the old version without bad ones
    /// don't count as proof that there are none.
    const MIN_BAD_SHARE: f64 = 0.03;
    /// The number of answers of the old version from which the median of all routes is known.
    const MIN_OLD_ANSWERS: u64 = 40;
    /// The number of calls of the old version beside those of the new one in a window, from which
    /// their share of bad ones is known.
    const MIN_CONCURRENT_CALLS: u64 = 20;
    /// The number of all calls of the old version in a window from which it may be the worst.
    const MIN_WINDOW_CALLS: u64 = 40;
    /// The number of answers of the old version on a route from which the route is judged alone.
    const MIN_ROUTE_ANSWERS: u64 = 8;
    /// The number of calls of the new version, on routes that the old one has answered, from which
    /// they must confirm that it is worse.
    const MIN_MATCHED_CALLS: u64 = 10;
    /// The percentage of these calls that must be bad. Two calls of a route may differ by a factor of
    /// four by themselves, so that some calls of any version are.
    const MIN_MATCHED_BAD_PERCENT: u64 = 15;

    /// Returns why the new version is worse than `old`; `None` if it isn't, or if most of its calls
    /// are on routes that are judged alone. Only the first `settled` windows are compared.
    pub fn fault(
        new: &RolloutEvidence,
        old: &RolloutEvidence,
        settled: usize,
    ) -> Option<VersionFault> {
        let old_all = sum(old.windows.iter().map(|window| &window.all));
        let median = old_all.percentile(50)?;
        if old_all.answers() < Self::MIN_OLD_ANSWERS || !Self::is_sparse(new, old) {
            return None;
        }
        let slow_bucket = slow_bucket(median);
        let count = |evidence: &RouteEvidence| bad_calls(evidence, slow_bucket);
        let windows = old.windows.iter().map(|window| count(&window.all));
        let worst = windows.filter(|calls| calls.all >= Self::MIN_WINDOW_CALLS).map(share);
        let worst = worst.fold(share(count(&old_all)), f64::max);
        let mut comparison = Comparison::default();
        for (n, window) in new.windows.iter().enumerate().take(settled) {
            let concurrent = old.windows.get(n).map(|window| count(&window.concurrent));
            let known = concurrent.filter(|calls| calls.all >= Self::MIN_CONCURRENT_CALLS);
            comparison.add(count(&window.all), known.map_or(worst, share));
        }
        let reference = count(&sum(old.windows.iter().map(|window| &window.concurrent)));
        let is_worse = comparison.is_worse(reference.all.max(1) as f64)
            && Self::is_confirmed(Self::matched_calls(new, old));
        is_worse.then_some(VersionFault::BadCalls {
            route: None,
            new: comparison.new,
            old: reference,
        })
    }

    /// Returns whether most calls of the new version are on routes without enough answers of the old
    /// one.
    fn is_sparse(new: &RolloutEvidence, old: &RolloutEvidence) -> bool {
        let all: u64 = new.windows.iter().map(|window| window.all.calls()).sum();
        let is_known = |(route, _): &(&_, &RouteEvidence)| {
            old.all.routes.get(route).is_some_and(|old| old.answers() >= Self::MIN_ROUTE_ANSWERS)
        };
        let known: u64 = new.all.routes.iter().filter(is_known).map(|(_, new)| new.calls()).sum();
        2 * known < all
    }

    /// Returns the calls of the new version on routes that the old one has answered. A call is slow if
    /// it takes four times the old version's median on its route.
    fn matched_calls(new: &RolloutEvidence, old: &RolloutEvidence) -> BadCalls {
        let mut matched = BadCalls::default();
        for (route, new) in &new.all.routes {
            let old = old.all.routes.get(route).and_then(|old| old.percentile(50));
            if let Some(median) = old {
                matched.add(bad_calls(new, slow_bucket(median)));
            }
        }
        matched
    }

    /// Returns whether the calls on the same routes don't contradict that the new version is worse.
    const fn is_confirmed(matched: BadCalls) -> bool {
        matched.all < Self::MIN_MATCHED_CALLS
            || 100 * matched.bad >= Self::MIN_MATCHED_BAD_PERCENT * matched.all
    }
}

/// The bad calls of the new version, and those that the old version's shares let expect.
#[derive(Debug, Default)]
struct Comparison {
    new: BadCalls,
    expected: f64,
    variance: f64,
}

impl Comparison {
    /// Adds the calls of a window in which the old version has `share` of bad calls.
    fn add(&mut self, new: BadCalls, share: f64) {
        let share = share.max(SparseJudge::MIN_BAD_SHARE);
        self.new.add(new);
        self.expected += share * new.all as f64;
        self.variance += share * (1.0 - share).max(SparseJudge::MIN_BAD_SHARE) * new.all as f64;
    }

    /// Returns whether the new version is worse. The expected number is as uncertain as the share of
    /// `reference` calls is.
    fn is_worse(&self, reference: f64) -> bool {
        let (bad, all) = (self.new.bad as f64, self.new.all as f64);
        let excess = bad - self.expected;
        let deviation = (self.variance * (1.0 + all / reference)).sqrt();
        bad >= SparseJudge::MIN_BAD_CALLS
            && excess >= SparseJudge::BAD_SHARE_MARGIN * all
            && excess >= SparseJudge::MIN_DEVIATIONS * deviation
    }
}

/// Returns the first bucket of calls that take four times as long as those in `median`.
const fn slow_bucket(median: usize) -> usize {
    median + RouteEvidence::FOURFOLD_BUCKETS + 1
}

fn bad_calls(evidence: &RouteEvidence, slow_bucket: usize) -> BadCalls {
    BadCalls {
        bad: u64::from(evidence.failures) + evidence.answers_from(slow_bucket),
        all: evidence.calls(),
    }
}

fn share(calls: BadCalls) -> f64 {
    calls.bad as f64 / calls.all.max(1) as f64
}

fn sum<'a>(counts: impl Iterator<Item = &'a RouteEvidence>) -> RouteEvidence {
    let mut sum = RouteEvidence::default();
    counts.for_each(|counts| sum.add(counts));
    sum
}
