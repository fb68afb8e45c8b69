//! Exponential backoff with full jitter.

use rand::Rng;

use crate::units::Millis;

/// Exponential backoff with full jitter.
///
/// Each delay is drawn between zero and a bound that doubles with every failure, so that
/// nodes that fail together do not retry together.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    initial: Millis,
    max: Millis,
    failures: u32,
}

impl Backoff {
    pub(crate) const fn new(initial: Millis, max: Millis) -> Self {
        Self { initial, max, failures: 0 }
    }

    /// Counts a failure and returns a random delay until the next attempt.
    pub(crate) fn next_delay(&mut self, rng: &mut impl Rng) -> Millis {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let max_delay = self.initial.get().saturating_mul(factor).min(self.max.get());
        self.failures = (self.failures + 1).min(u64::BITS - 1);
        Millis::new(rng.random_range(0..=max_delay))
    }

    pub(crate) const fn reset(&mut self) {
        self.failures = 0;
    }
}
