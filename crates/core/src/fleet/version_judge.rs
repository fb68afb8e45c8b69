//! Whether a new version is worse than the old one.

use crate::fleet::{RouteEvidence, VersionEvidence};

/// Compares a new version with the old one by what their doors saw since the order.
///
/// The new version is bad if more of its calls fail, or more of its answers take four times
/// as long as the old version's median on the same route. The rule is applied to each route
/// and to all together, so that one bad route among good ones shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionJudge;

impl VersionJudge {
    /// Bad calls below this number prove nothing.
    const FEWEST_BAD: u32 = 4;
    /// The share of bad calls, in percent, by which the new version must exceed the old one.
    const MARGIN: u32 = 15;
    /// Answers of the old version from which its median is known.
    const FEWEST_OLD: u32 = 8;

    /// Whether `new` is worse than `old`.
    pub fn is_bad(new: &VersionEvidence, old: &VersionEvidence) -> bool {
        let mut total = Tally::default();
        let empty = RouteEvidence::default();
        for (route, new) in &new.routes {
            let old = old.routes.get(route).unwrap_or(&empty);
            let tally = Tally::of(new, old);
            if tally.is_bad() {
                return true;
            }
            total.add(tally);
        }
        total.is_bad()
    }
}

/// The bad calls of both versions.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    new: u32,
    new_bad: u32,
    old: u32,
    old_bad: u32,
}

impl Tally {
    fn of(new: &RouteEvidence, old: &RouteEvidence) -> Self {
        let is_known = old.answers() >= VersionJudge::FEWEST_OLD;
        let slow =
            old.median().filter(|_| is_known).map(|median| median + RouteEvidence::FOUR_TIMES + 1);
        let slow = |evidence: &RouteEvidence| slow.map_or(0, |slow| evidence.answers_from(slow));
        Self {
            new: new.calls(),
            new_bad: new.failures + slow(new),
            old: old.calls(),
            old_bad: old.failures + slow(old),
        }
    }

    fn add(&mut self, other: Self) {
        self.new += other.new;
        self.new_bad += other.new_bad;
        self.old += other.old;
        self.old_bad += other.old_bad;
    }

    /// Whether the share of bad calls of the new version exceeds the old one's by the margin.
    fn is_bad(self) -> bool {
        let old_share = 100 * self.old_bad / self.old.max(1);
        self.new_bad >= VersionJudge::FEWEST_BAD
            && 100 * self.new_bad > (old_share + VersionJudge::MARGIN) * self.new
    }
}
