//! Decides whether a new version is worse than the old one.

use crate::fleet::{
    BadCalls, RolloutEvidence, RouteEvidence, RouteKey, VersionEvidence, VersionFault,
};

/// Compares a new version with the old one by the calls observed since the rollout order.
///
/// The new version is bad if more of its calls fail or take four times the old version's median on
/// the same route, or if the answers of one of its servers fall into fast and slow ones where the
/// old version's do not.
/// The last rule finds a version that is slow for some of its calls on a server that is faster than
/// the others. The rules apply to each route, so that one bad route among good ones shows; the rule
/// for failed and slow calls also applies to all routes together.
///
/// A peak of load slows both versions, while most calls of the old one date from calmer seconds. So
/// the old version counts with the worse of two figures: that of all its calls, and that of the
/// calls that began while the new version got some as well.
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

    /// Returns why the new version, by the evidence of each of its servers, is worse than `old`;
    /// `None` if it isn't.
    pub fn fault(servers: &[VersionEvidence], old: &RolloutEvidence) -> Option<VersionFault> {
        let mut new = VersionEvidence::default();
        servers.iter().for_each(|server| new.add(server));
        let mut total = BadCallCounts::default();
        for (route, new) in &new.routes {
            let old = OldRoute::of(old, route);
            let counts = BadCallCounts::of(new, &old);
            if counts.is_bad() {
                return Some(counts.fault(Some(*route)));
            }
            let mut servers = servers.iter().filter_map(|server| server.routes.get(route));
            if let Some((new_spread, old_spread)) =
                servers.find_map(|server| Self::bimodal_spreads(server, &old))
            {
                let route = *route;
                return Some(VersionFault::Bimodal { route, new_spread, old_spread });
            }
            total.add(counts);
        }
        total.is_bad().then(|| total.fault(None))
    }

    /// Returns the spreads of a server of the new version and of the old version, if the answers of
    /// the former fall into fast and slow ones. The answers of several servers together may do so
    /// only because the servers differ in speed.
    fn bimodal_spreads(new: &RouteEvidence, old: &OldRoute) -> Option<(usize, usize)> {
        let is_known =
            new.answers() >= Self::MIN_NEW_ANSWERS && old.all.answers() >= Self::MIN_OLD_ANSWERS;
        let old_spread = old.all.spread().max(old.concurrent.spread());
        let spreads = new.spread().zip(old_spread).filter(|_| is_known);
        spreads.filter(|(new, old)| *new >= *old + Self::SPREAD_MARGIN_BUCKETS)
    }
}

/// What was observed of the old version on a route.
#[derive(Debug)]
struct OldRoute {
    all: RouteEvidence,
    concurrent: RouteEvidence,
}

impl OldRoute {
    fn of(old: &RolloutEvidence, route: &RouteKey) -> Self {
        let part = |evidence: &VersionEvidence| evidence.routes.get(route).cloned();
        Self {
            all: part(&old.all).unwrap_or_default(),
            concurrent: part(&old.concurrent).unwrap_or_default(),
        }
    }
}

/// The calls of both versions, and how many of them failed or were slow.
#[derive(Debug, Clone, Copy, Default)]
struct BadCallCounts {
    new: BadCalls,
    old: BadCalls,
    /// The calls of `old` that began while the new version got calls.
    concurrent: BadCalls,
}

impl BadCallCounts {
    fn of(new: &RouteEvidence, old: &OldRoute) -> Self {
        let is_known = old.all.answers() >= VersionJudge::MIN_OLD_ANSWERS;
        let slow_bucket = old
            .all
            .percentile(50)
            .filter(|_| is_known)
            .map(|median| median + RouteEvidence::FOURFOLD_BUCKETS + 1);
        let count = |evidence: &RouteEvidence| {
            let slow = slow_bucket.map_or(0, |bucket| evidence.answers_from(bucket));
            BadCalls { bad: u64::from(evidence.failures) + slow, all: evidence.calls() }
        };
        Self { new: count(new), old: count(&old.all), concurrent: count(&old.concurrent) }
    }

    fn add(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
        self.concurrent.add(other.concurrent);
    }

    /// Returns the calls of the old version that the new one is compared with.
    fn reference(self) -> BadCalls {
        if self.concurrent.percent() > self.old.percent() { self.concurrent } else { self.old }
    }

    /// Returns whether the new version's share of failed or slow calls exceeds that of the old one
    /// by the margin.
    fn is_bad(self) -> bool {
        let limit = self.reference().percent() + VersionJudge::BAD_SHARE_MARGIN_PERCENT;
        self.new.bad >= VersionJudge::MIN_BAD_CALLS && 100 * self.new.bad > limit * self.new.all
    }

    fn fault(self, route: Option<RouteKey>) -> VersionFault {
        VersionFault::BadCalls { route, new: self.new, old: self.reference() }
    }
}
