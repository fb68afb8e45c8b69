//! The time since an order.

use crate::units::{Instant, Micros};

/// The time since an order, which may have come before the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutClock {
    /// The instant at which `elapsed` had passed.
    anchor: Instant,
    elapsed: Micros,
}

impl RolloutClock {
    /// The clock of an order that comes at `now`.
    pub const fn start(now: Instant) -> Self {
        Self { anchor: now, elapsed: Micros::new(0) }
    }

    /// The time since the order.
    pub fn elapsed(&self, now: Instant) -> Micros {
        Micros::new(self.elapsed.get() + now.since(self.anchor).get())
    }

    /// Learns that at least `elapsed` has passed. The time since an order only grows, also
    /// for a process that stood still.
    pub fn advance_to(&mut self, now: Instant, elapsed: Micros) {
        if elapsed > self.elapsed(now) {
            *self = Self { anchor: now, elapsed };
        }
    }
}
