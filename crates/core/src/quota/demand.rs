//! The expected number of calls.

use crate::units::{Instant, Micros};

/// Estimates the rate of a team's calls at this node from their arrivals.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Calls per second as of `updated`.
    rate: f64,
    updated: Instant,
}

impl Demand {
    /// The time constant of the average. Follows a demand that moves between nodes within a second.
    const TIME_CONSTANT_S: f64 = 0.5;

    pub(super) fn record_call(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / Self::TIME_CONSTANT_S;
        self.updated = now;
    }

    /// Returns the calls that are expected within `span`.
    pub(super) fn expected(&self, now: Instant, span: Micros) -> f64 {
        self.rate(now) * span.get() as f64 / 1e6
    }

    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated).get() as f64 / 1e6;
        self.rate * (-elapsed / Self::TIME_CONSTANT_S).exp()
    }
}
