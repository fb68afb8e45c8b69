//! The share of a service's calls that a rollout sends to its new version.

use crate::fleet::{RolloutClock, RolloutPlan, RolloutStep};
use crate::ids::VersionName;
use crate::store::Revision;
use crate::units::Instant;

/// The share of a service's calls that a rollout sends to its new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficShift {
    /// The new version.
    pub target: VersionName,
    /// The order's revision; counts of an earlier order don't hold for a later one.
    pub order: Revision,
    /// The time since the order.
    pub clock: RolloutClock,
    /// The steps.
    pub plan: RolloutPlan,
}

impl TrafficShift {
    /// Whether the next call goes to the new version, of `new` sent there among `all` so far.
    ///
    /// In the canary step, what the share allows is saved and sent in short bursts, so that the few
    /// calls meet one backend server together and show whether it fails under load.
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

    /// Whether all calls go to the new version.
    pub fn is_full(&self, now: Instant) -> bool {
        self.plan.step(self.clock.elapsed(now)) >= RolloutStep::Full
    }

    /// The number of the canary's burst, by which its calls choose one backend server.
    pub fn burst(&self, now: Instant) -> Option<u64> {
        let elapsed = self.clock.elapsed(now);
        match self.plan.step(elapsed) {
            RolloutStep::Canary => RolloutPlan::burst(elapsed),
            _ => None,
        }
    }
}
