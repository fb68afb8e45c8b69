//! When a slow call is sent to a second endpoint.

use crate::units::{Micros, Millis};

/// When an idempotent call that has no answer yet is sent to a second endpoint as well.
///
/// Answers two load patterns: a call that runs far longer than others of its route, and an endpoint
/// or server that fell silent, which shows no other way before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hedge {
    /// How long the answer is likely to take.
    pub expected: Micros,
    /// The time until an answer is late.
    pub target_left: Micros,
}

impl Hedge {
    /// An answer that takes this much longer than expected is one of the slowest few in a
    /// hundred.
    const SLOW_FACTOR: f64 = 1.6;
    /// Shortest time before a second endpoint is tried.
    const MIN_DELAY: Millis = Millis::new(20);
    /// The part of the slots of the second endpoint that must be free: a copy must not take the
    /// place of another call.
    const MIN_FREE_SLOT_FRACTION: f64 = 0.3;

    /// How long the first endpoint is waited for.
    pub fn delay(self) -> Micros {
        let slow = (self.expected.get() as f64 * Self::SLOW_FACTOR) as u64;
        Micros::new(slow).max(Self::MIN_DELAY.into())
    }

    /// Whether an endpoint with `slots`, of which `calls_ahead` are taken, may run a copy that is
    /// likely to take `expected`, `waited` after the call was sent first.
    pub fn is_worth(self, waited: Micros, expected: Micros, calls_ahead: u32, slots: u32) -> bool {
        let is_free =
            f64::from(calls_ahead) <= f64::from(slots) * (1.0 - Self::MIN_FREE_SLOT_FRACTION);
        let arrives = waited.get() + expected.get();
        let is_in_time = arrives <= self.target_left.get();
        // Past the target, only a call that is likely to be lost is worth a copy.
        let is_lost = waited.get() >= self.target_left.get().max(3 * self.expected.get());
        is_free && (is_in_time || is_lost)
    }
}
