//! Decides whether a new version is worse than the old one.

use crate::fleet::{BadCalls, RouteEvidence, RouteKey, VersionEvidence, VersionFault};

/// Compares a new version with the old one by the calls observed since the rollout order.
///
/// The new version is bad if more of its calls fail or take four times the old version's median on
/// the same route, or if its answers fall into fast and slow ones where the old version's do not.
/// The last rule finds a version that is slow for some of its calls on a server that is faster than
/// the others. The rules apply to each route, so that one bad route among good ones shows; the rule
/// for failed and slow calls also applies to all routes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionJudge;

impl VersionJudge {
    /// Fewer failed or slow calls of the new version than this prove nothing.
    const MIN_BAD_CALLS: u64 = 4;
    /// The percentage points by which the new version's share of failed or slow calls must exceed
    /// that of the old one.
    const BAD_SHARE_MARGIN_PERCENT: u64 = 15;
    /// The number of answers of the old version from which its median is known.
    const MIN_OLD_ANSWERS: u64 = 8;
    /// The number of answers of the new version from which its spread is known.
    const MIN_NEW_ANSWERS: u64 = 12;
    /// The number of buckets by which the new version's spread must exceed the old one's: a factor
    /// of 2.8.
    const SPREAD_MARGIN_BUCKETS: usize = 3;

    /// Returns why `new` is worse than `old`; `None` if it isn't.
    pub fn fault(new: &VersionEvidence, old: &VersionEvidence) -> Option<VersionFault> {
        let mut total = BadCallCounts::default();
        let empty = RouteEvidence::default();
        for (route, new) in &new.routes {
            let old = old.routes.get(route).unwrap_or(&empty);
            let counts = BadCallCounts::of(new, old);
            if counts.is_bad() {
                return Some(counts.fault(Some(*route)));
            }
            if let Some((new_spread, old_spread)) = Self::bimodal_spreads(new, old) {
                let route = *route;
                return Some(VersionFault::Bimodal { route, new_spread, old_spread });
            }
            total.add(counts);
        }
        total.is_bad().then(|| total.fault(None))
    }

    /// Returns the spreads of both versions if the answers of the new one fall into fast and slow
    /// ones.
    fn bimodal_spreads(new: &RouteEvidence, old: &RouteEvidence) -> Option<(usize, usize)> {
        let is_known =
            new.answers() >= Self::MIN_NEW_ANSWERS && old.answers() >= Self::MIN_OLD_ANSWERS;
        let spreads = new.spread().zip(old.spread()).filter(|_| is_known);
        spreads.filter(|(new, old)| *new >= *old + Self::SPREAD_MARGIN_BUCKETS)
    }
}

/// The calls of both versions, and how many of them failed or were slow.
#[derive(Debug, Clone, Copy, Default)]
struct BadCallCounts {
    new_calls: u64,
    new_bad_calls: u64,
    old_calls: u64,
    old_bad_calls: u64,
}

impl BadCallCounts {
    fn of(new: &RouteEvidence, old: &RouteEvidence) -> Self {
        let is_known = old.answers() >= VersionJudge::MIN_OLD_ANSWERS;
        let slow_bucket = old
            .percentile(50)
            .filter(|_| is_known)
            .map(|median| median + RouteEvidence::FOURFOLD_BUCKETS + 1);
        let slow_answers = |evidence: &RouteEvidence| {
            slow_bucket.map_or(0, |bucket| evidence.answers_from(bucket))
        };
        Self {
            new_calls: new.calls(),
            new_bad_calls: u64::from(new.failures) + slow_answers(new),
            old_calls: old.calls(),
            old_bad_calls: u64::from(old.failures) + slow_answers(old),
        }
    }

    fn add(&mut self, other: Self) {
        self.new_calls += other.new_calls;
        self.new_bad_calls += other.new_bad_calls;
        self.old_calls += other.old_calls;
        self.old_bad_calls += other.old_bad_calls;
    }

    /// Returns whether the new version's share of failed or slow calls exceeds that of the old one
    /// by the margin.
    fn is_bad(self) -> bool {
        let old_share = 100 * self.old_bad_calls / self.old_calls.max(1);
        self.new_bad_calls >= VersionJudge::MIN_BAD_CALLS
            && 100 * self.new_bad_calls
                > (old_share + VersionJudge::BAD_SHARE_MARGIN_PERCENT) * self.new_calls
    }

    fn fault(self, route: Option<RouteKey>) -> VersionFault {
        VersionFault::BadCalls {
            route,
            new: BadCalls { bad: self.new_bad_calls, all: self.new_calls },
            old: BadCalls { bad: self.old_bad_calls, all: self.old_calls },
        }
    }
}
