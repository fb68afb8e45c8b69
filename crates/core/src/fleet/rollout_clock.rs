//! A clock for the time since a rollout order.

use crate::units::{Instant, Micros};

/// Measures the time since a rollout order, which may have come before the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutClock {
    /// The instant at which `elapsed` had passed since the order.
    anchor: Instant,
    elapsed: Micros,
}

impl RolloutClock {
    /// Starts the clock of an order that arrives at `now`.
    pub const fn start(now: Instant) -> Self {
        Self { anchor: now, elapsed: Micros::new(0) }
    }

    /// Returns the time since the order.
    pub fn elapsed(&self, now: Instant) -> Micros {
        Micros::new(self.elapsed.get().saturating_add(now.since(self.anchor).get()))
    }

    /// Advances the clock if at least `elapsed` has passed. The clock never goes back, also in a
    /// process that was suspended.
    pub fn advance_to(&mut self, now: Instant, elapsed: Micros) {
        if elapsed > self.elapsed(now) {
            *self = Self { anchor: now, elapsed };
        }
    }
}
