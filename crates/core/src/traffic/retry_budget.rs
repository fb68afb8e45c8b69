//! The limit on the number of retries of a node.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::{CallsPerSecond, Instant, PerMille};

/// The cost of one retry in the unit of the budget, a thousandth of a retry.
const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Limits retries to a share of recent calls plus a constant rate.
///
/// The limit keeps retries from multiplying the load when many endpoints fail at once.
#[derive(Debug)]
pub struct RetryBudget {
    /// The available thousandths of retries earned by calls; at most [`Self::MAX_EARNED`].
    earned: AtomicU64,
    /// The available thousandths of retries granted over time; at most [`Self::MAX_GRANTED`].
    granted: AtomicU64,
    /// The time up to which retries were added to `granted`, in microseconds. Never decreases.
    granted_until: AtomicU64,
}

impl RetryBudget {
    /// The part of a retry that each call earns.
    pub const SHARE: PerMille = match PerMille::new(100) {
        Some(share) => share,
        None => PerMille::ZERO,
    };
    /// The rate of retries granted independently of calls.
    pub const MIN_RATE: CallsPerSecond = CallsPerSecond::new(10);
    /// The largest number of earned retries that accumulate, in thousandths.
    const MAX_EARNED: u64 = 100 * THOUSANDTHS_PER_RETRY;
    /// The largest number of granted retries that accumulate, in thousandths: those of one second.
    const MAX_GRANTED: u64 = Self::MIN_RATE.get() * THOUSANDTHS_PER_RETRY;

    /// Creates a budget that starts with the granted retries of one second.
    pub fn new(now: Instant) -> Self {
        Self {
            earned: AtomicU64::new(0),
            granted: AtomicU64::new(Self::MAX_GRANTED),
            granted_until: AtomicU64::new(now.get()),
        }
    }

    /// Earns a part of a retry for a first attempt of a call.
    pub fn count_call(&self) {
        let add = u64::from(Self::SHARE.get());
        let _ = self.earned.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
            (n < Self::MAX_EARNED).then(|| (n + add).min(Self::MAX_EARNED))
        });
    }

    /// Takes one retry out of the budget, or returns `false` if none is left.
    pub fn try_acquire(&self, now: Instant) -> bool {
        self.grant(now);
        Self::withdraw(&self.earned) || Self::withdraw(&self.granted)
    }

    fn grant(&self, now: Instant) {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let until = self.granted_until.load(Ordering::Relaxed);
        let add = now.get().saturating_sub(until).min(MICROS_PER_SECOND) * Self::MAX_GRANTED
            / MICROS_PER_SECOND;
        if add == 0 {
            return;
        }
        // Only the thread that advances `granted_until` adds the grant for that time span.
        let moved = self.granted_until.compare_exchange(
            until,
            now.get(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if moved.is_ok() {
            let _ = self.granted.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                Some((n + add).min(Self::MAX_GRANTED))
            });
        }
    }

    fn withdraw(tokens: &AtomicU64) -> bool {
        let withdraw = |n: u64| n.checked_sub(THOUSANDTHS_PER_RETRY);
        tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}
