//! A token bucket that limits the rate of calls.

use std::time::{Duration, Instant};

use almondsail_core::units::CallsPerSecond;

/// A token bucket with the capacity of one second's calls.
#[derive(Debug)]
pub struct RateLimit {
    rate: CallsPerSecond,
    tokens: f64,
    /// The time of the last refill.
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket that is refilled at `rate`.
    pub fn new(rate: CallsPerSecond, now: Instant) -> Self {
        Self { rate, tokens: rate.get() as f64, refilled_at: now }
    }

    /// Takes a token if one is available; returns whether it did.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let passed: Duration = now.saturating_duration_since(self.refilled_at);
        let full = self.rate.get() as f64;
        self.tokens = full.min(self.tokens + passed.as_secs_f64() * full);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
