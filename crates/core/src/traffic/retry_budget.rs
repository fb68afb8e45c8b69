//! The budget for retries.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::{CallsPerSecond, Instant, PerMille};

/// Thousandths of a retry in one retry.
const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Limits retries to a share of recent calls plus a small rate.
///
/// The limit keeps retries from multiplying the load when many endpoints fail at once.
#[derive(Debug)]
pub struct RetryBudget {
    /// Thousandths of retries earned by calls; at most [`Self::MAX_EARNED`].
    earned: AtomicU64,
    /// Thousandths of retries granted by time; at most one second's worth.
    granted: AtomicU64,
    /// The time up to which `granted` is filled, in microseconds. Never decreases.
    granted_until: AtomicU64,
}

impl RetryBudget {
    /// The retries that each call earns.
    pub const SHARE: PerMille = match PerMille::new(100) {
        Some(share) => share,
        None => PerMille::ZERO,
    };
    /// The retries granted in any case.
    pub const MIN_RATE: CallsPerSecond = CallsPerSecond::new(10);
    /// The largest number of earned retries that can be saved up, in thousandths.
    const MAX_EARNED: u64 = 100 * THOUSANDTHS_PER_RETRY;
    const MAX_GRANTED: u64 = Self::MIN_RATE.get() * THOUSANDTHS_PER_RETRY;

    /// A budget that starts with one second's worth of granted retries.
    pub fn new(now: Instant) -> Self {
        Self {
            earned: AtomicU64::new(0),
            granted: AtomicU64::new(Self::MAX_GRANTED),
            granted_until: AtomicU64::new(now.get()),
        }
    }

    /// Counts a call, which is not a retry.
    pub fn count_call(&self) {
        let add = u64::from(Self::SHARE.get());
        let _ = self.earned.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
            (n < Self::MAX_EARNED).then(|| (n + add).min(Self::MAX_EARNED))
        });
    }

    /// Takes one retry out of the budget; `false` if it is used up.
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
        // Only the thread that moves the time forward adds the grant for that span.
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
