//! Decides when a slow call is sent to a second endpoint.

use crate::units::{Micros, Millis};

/// Decides when an idempotent call without an answer is sent to a second endpoint as well.
///
/// Covers a call that runs far longer than others of its route, and an endpoint or server that
/// stopped responding, which nothing else shows before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hedge {
    /// The expected time until the first endpoint answers.
    pub expected: Micros,
    /// The time from the first attempt until an answer is late.
    pub target_left: Micros,
}

impl Hedge {
    /// An answer that takes this many times as long as expected is among the slowest few percent.
    const SLOW_FACTOR: f64 = 1.6;
    /// The shortest time before a second endpoint is tried.
    const MIN_DELAY: Millis = Millis::new(20);
    /// The fraction of the second endpoint's slots that must be free, so that the copy does not
    /// take the place of another call.
    const MIN_FREE_SLOT_FRACTION: f64 = 0.3;

    /// Returns how long to wait for the first endpoint.
    pub fn delay(self) -> Micros {
        let slow = (self.expected.get() as f64 * Self::SLOW_FACTOR) as u64;
        Micros::new(slow).max(Self::MIN_DELAY.into())
    }

    /// Returns how long after the first attempt the call is presumed lost.
    pub fn presumed_lost_after(self) -> Micros {
        const LOST_FACTOR: u64 = 3;
        self.target_left.max(Micros::new(self.expected.get().saturating_mul(LOST_FACTOR)))
    }

    /// Returns whether to send a copy to an endpoint with `slots`, of which `calls_ahead` are
    /// taken, and an expected latency of `expected`. `waited` is the time since the first attempt.
    pub fn is_worthwhile(
        self,
        waited: Micros,
        expected: Micros,
        calls_ahead: u32,
        slots: u32,
    ) -> bool {
        let is_free =
            f64::from(calls_ahead) <= f64::from(slots) * (1.0 - Self::MIN_FREE_SLOT_FRACTION);
        let arrives = waited.get().saturating_add(expected.get());
        let is_in_time = arrives <= self.target_left.get();
        // After the target, a copy is worthwhile only if the first attempt is likely to be lost.
        let is_lost = waited >= self.presumed_lost_after();
        is_free && (is_in_time || is_lost)
    }
}
