//! A token bucket.

use crate::units::{Instant, Micros};

/// A bucket that fills with tokens at a rate up to a capacity.
///
/// Its level may be below zero: tokens that were granted for a later time are taken at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    /// Tokens per second; not negative.
    rate: f64,
    /// At least 1, so that a call can ever be granted.
    capacity: f64,
    /// When `level` was computed.
    updated: Instant,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens, at most `capacity`.
    pub fn new(now: Instant, rate: f64, capacity: f64, level: f64) -> Self {
        let capacity = capacity.max(1.0);
        Self { level: level.min(capacity), rate: rate.max(0.0), capacity, updated: now }
    }

    /// Changes rate and capacity from `now` on. Tokens beyond the new capacity are lost.
    pub fn set_limits(&mut self, now: Instant, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.capacity = capacity.max(1.0);
        self.level = self.level.min(self.capacity);
    }

    /// Returns the tokens at `now`.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `tokens`, of which some may not exist yet.
    pub fn take(&mut self, now: Instant, tokens: f64) {
        self.refill(now);
        self.level -= tokens;
    }

    /// Returns the time until the bucket holds a token; `None` if it never will.
    pub fn time_until_token(&mut self, now: Instant) -> Option<Micros> {
        let missing = 1.0 - self.level(now);
        if missing <= 0.0 {
            return Some(Micros::default());
        }
        (self.rate > 0.0).then(|| Micros::new((missing / self.rate * 1e6).ceil() as u64))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).get() as f64 / 1e6;
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
