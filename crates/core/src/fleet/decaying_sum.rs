//! A sum in which older values count less.

use crate::units::{Instant, Micros};

/// A sum of values that decay exponentially with their age.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct DecayingSum {
    sum: f64,
    updated_at: Instant,
}

impl DecayingSum {
    /// Adds `value`. The sum decays to 1/e within `time_constant`.
    pub(super) fn add(&mut self, now: Instant, time_constant: Micros, value: f64) {
        self.sum = self.at(now, time_constant) + value;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the sum at `now`.
    pub(super) fn at(&self, now: Instant, time_constant: Micros) -> f64 {
        let age = now.since(self.updated_at).get() as f64;
        self.sum * (-age / time_constant.get() as f64).exp()
    }
}
