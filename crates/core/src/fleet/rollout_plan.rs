//! The steps of a rollout over its time.

use crate::units::{Micros, Millis, PerMille};

/// A step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutStep {
    /// A small share goes to the new version, gathered into short bursts.
    Canary,
    /// A quarter of the calls goes to the new version.
    Quarter,
    /// All calls go to the new version; the old one only finishes what it runs.
    Full,
    /// The end may be recorded: the old version may stop at any moment after it.
    Complete,
}

/// The steps of a rollout over its time.
///
/// A version that is bad only under load shows it at the latest with the first full load.
/// The quarter step and the first second of the full step are kept short enough that the
/// share of such a version stays below a tenth of the calls of a 12 s rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutPlan {
    duration: Millis,
}

impl RolloutPlan {
    /// The share of the calls that the canary step may send to the new version.
    pub const CANARY_SHARE: PerMille = PerMille::new(40).unwrap();
    /// The share of the quarter step.
    pub const QUARTER_SHARE: PerMille = PerMille::new(250).unwrap();
    /// Time between two bursts of the canary step.
    pub const BURST_PERIOD: Millis = Millis::new(2_000);
    /// How long a burst lasts.
    pub const BURST_DURATION: Millis = Millis::new(400);
    /// How long before the deadline all calls go to the new version.
    const FULL_LEAD: Millis = Millis::new(3_500);
    /// How long before the deadline a quarter does.
    const QUARTER_LEAD: Millis = Millis::new(4_200);
    /// How long before the deadline the end is recorded. Covers lost writes and the
    /// takeover by the next node.
    const COMPLETE_LEAD: Millis = Millis::new(2_000);

    /// The plan of a rollout that takes `duration`.
    pub const fn new(duration: Millis) -> Self {
        Self { duration }
    }

    /// The step `elapsed` after the order.
    pub fn step(self, elapsed: Micros) -> RolloutStep {
        let left = self.duration.get().saturating_sub(elapsed.get() / 1_000);
        if left <= self.scaled_lead(Self::COMPLETE_LEAD) {
            RolloutStep::Complete
        } else if left <= self.scaled_lead(Self::FULL_LEAD) {
            RolloutStep::Full
        } else if left <= self.scaled_lead(Self::QUARTER_LEAD) {
            RolloutStep::Quarter
        } else {
            RolloutStep::Canary
        }
    }

    /// The burst that runs `elapsed` after the order, counted from zero, if one does.
    pub fn burst(elapsed: Micros) -> Option<u64> {
        let elapsed = elapsed.get() / 1_000;
        let is_burst = elapsed % Self::BURST_PERIOD.get() < Self::BURST_DURATION.get();
        is_burst.then_some(elapsed / Self::BURST_PERIOD.get())
    }

    /// `before` for short rollouts: the steps keep their order within half of the time.
    fn scaled_lead(self, before: Millis) -> u64 {
        let half = self.duration.get() / 2;
        before.get().min(half * before.get() / Self::QUARTER_LEAD.get())
    }
}
