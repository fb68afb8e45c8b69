//! The share of a service's calls that a rollout sends to its new version.

use crate::fleet::{RolloutClock, RolloutPlan, RolloutStep};
use crate::ids::VersionName;
use crate::store::StorePosition;
use crate::units::Instant;

/// The share of a service's calls that a rollout sends to its new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficShift {
    /// The new version that calls are moved to.
    pub target: VersionName,
    /// The position of the rollout order. Calls counted for an earlier order don't count for a
    /// later one.
    pub order: StorePosition,
    /// Measures the time since the rollout order.
    pub clock: RolloutClock,
    /// Decides which step is due at a time.
    pub plan: RolloutPlan,
}

impl TrafficShift {
    /// Returns whether the next call goes to the new version, which got `new` of `all` calls so
    /// far.
    ///
    /// In the canary step, the allowed share is saved up and sent in short bursts, so that the few
    /// calls reach one backend server together and show whether it fails under load.
    pub fn sends_to_new(&self, now: Instant, new: u64, all: u64) -> bool {
        let elapsed = self.clock.elapsed(now);
        let share = match self.plan.step(elapsed) {
            RolloutStep::Canary if RolloutPlan::burst(elapsed).is_none() => return false,
            RolloutStep::Canary => RolloutPlan::CANARY_SHARE,
            RolloutStep::Quarter => return all.is_multiple_of(4),
            RolloutStep::Full | RolloutStep::Complete => return true,
        };
        new * 1_000 < all * u64::from(share.get())
    }

    /// Returns whether all calls go to the new version at `now`.
    pub fn is_full(&self, now: Instant) -> bool {
        self.plan.step(self.clock.elapsed(now)) >= RolloutStep::Full
    }

    /// Returns the number of the current canary burst, by which its calls choose one backend
    /// server; `None` if no burst runs.
    pub fn burst(&self, now: Instant) -> Option<u64> {
        let elapsed = self.clock.elapsed(now);
        match self.plan.step(elapsed) {
            RolloutStep::Canary => RolloutPlan::burst(elapsed),
            _ => None,
        }
    }
}
