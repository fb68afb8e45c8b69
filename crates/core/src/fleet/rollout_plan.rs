//! The steps of a rollout and when each one begins.

use crate::fleet::EvidenceWindow;
use crate::units::{Micros, Millis, PerMille};

/// A step of a rollout, which decides the share of calls that the new version gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutStep {
    /// A small share of the calls goes to the new version, in short bursts.
    Canary,
    /// A quarter of the calls goes to the new version.
    Quarter,
    /// All calls go to the new version; the old one only finishes the calls that it runs.
    Full,
    /// The end may be recorded, after which servers of the old version may stop at any moment.
    Complete,
}

/// Decides which step of a rollout is due at a time.
///
/// A version that is bad only under load shows it at the latest with the first full load. The
/// quarter step and the first second of the full step are short enough to keep the share of such a
/// version below a tenth of the calls of a 12 s rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutPlan {
    duration: Millis,
}

impl RolloutPlan {
    /// The largest share of the calls that the canary step sends to the new version.
    pub const CANARY_SHARE: PerMille = PerMille::new(40).unwrap();
    /// The time between the starts of two bursts of the canary step.
    pub const BURST_PERIOD: Millis = Millis::new(2_000);
    /// The duration of a burst of the canary step.
    pub const BURST_DURATION: Millis = Millis::new(400);
    /// How long before the deadline all calls go to the new version.
    const FULL_LEAD: Millis = Millis::new(3_500);
    /// How long before the deadline a quarter of the calls goes to the new version.
    const QUARTER_LEAD: Millis = Millis::new(4_200);
    /// How long before the deadline the end is recorded. Covers lost writes and the takeover by the
    /// next node.
    const COMPLETE_LEAD: Millis = Millis::new(2_000);

    /// Creates the plan of a rollout that takes `duration`.
    pub const fn new(duration: Millis) -> Self {
        Self { duration }
    }

    /// Returns the step that is due `elapsed` after the order.
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

    /// Returns whether the new version gets calls `elapsed` after the order.
    pub fn has_calls_to_new(self, elapsed: Micros) -> bool {
        self.step(elapsed) > RolloutStep::Canary || Self::burst(elapsed).is_some()
    }

    /// Returns the number, from zero, of the canary burst that runs `elapsed` after the order;
    /// `None` between bursts.
    pub fn burst(elapsed: Micros) -> Option<u64> {
        let elapsed = elapsed.get() / 1_000;
        let is_burst = elapsed % Self::BURST_PERIOD.get() < Self::BURST_DURATION.get();
        is_burst.then_some(elapsed / Self::BURST_PERIOD.get())
    }

    /// Returns the number, from zero, of the window in which the time `elapsed` after the order lies.
    /// Each window spans whole periods of bursts.
    pub fn window(self, elapsed: Micros) -> usize {
        let windows = EvidenceWindow::MAX_WINDOWS as u64;
        let periods = self.duration.get().div_ceil(Self::BURST_PERIOD.get() * windows).max(1);
        let length = Micros::from(Millis::new(periods * Self::BURST_PERIOD.get()));
        usize::try_from(elapsed.get() / length.get())
            .unwrap_or(usize::MAX)
            .min(EvidenceWindow::MAX_WINDOWS - 1)
    }

    /// Returns the number of windows whose calls can be compared `elapsed` after the order. In the
    /// canary step, calls to the new version come first in a burst, so its window is compared when
    /// the calls behind them have ended as well.
    pub fn settled_windows(self, elapsed: Micros) -> usize {
        match self.step(elapsed) {
            RolloutStep::Canary => self.window(elapsed),
            _ => EvidenceWindow::MAX_WINDOWS,
        }
    }

    /// Returns `lead` in milliseconds, shortened for short rollouts so that the steps keep their
    /// order within half of the duration.
    fn scaled_lead(self, lead: Millis) -> u64 {
        let half = self.duration.get() / 2;
        lead.get().min(half.saturating_mul(lead.get()) / Self::QUARTER_LEAD.get())
    }
}
