//! Limits the calls that a node sends to a cold backend server.

use std::collections::VecDeque;

use crate::fleet::{BackendWarmth, ColdRule};
use crate::units::{CallRate, Instant, Micros, Millis};

/// Limits the calls that a node sends to the backend server beside it while that is cold, or while
/// it is not known whether it is.
///
/// Only this node sends calls to the server, so its own count is the sum over all nodes. It counts
/// calls in a sliding window, also those to a warm server, which may become cold at any moment.
/// Without a record of the calls in the last second it admits none: a former process of the node
/// may have sent as many as the server can take.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    rule: ColdRule,
    /// When the calls began to be counted.
    counted_since: Instant,
    /// The times of the last calls that were admitted, the oldest first; at most `capacity` many.
    admitted: VecDeque<Instant>,
    /// Whether the server is warm, by its last announcement.
    is_warm: bool,
    /// Since when the server may have restarted without an announcement.
    doubted_at: Option<Instant>,
}

impl ColdLimiter {
    /// An announcement that arrives within this time after the server may have restarted does not
    /// show whether it is warm: the former process may have sent it.
    pub const SETTLE_TIME: Millis = Millis::new(200);
    /// The length of the sliding window, unless the rate is below one call in it.
    const MIN_WINDOW: Micros = Micros::new(1_000_000);
    /// The admitted rate as a percentage of the configured one. Below the 150% that are
    /// allowed, because calls are counted when they are sent and not when they arrive.
    const RATE_PERCENT: u64 = 125;
    /// The largest number of calls in a window, which bounds memory.
    const MAX_CAPACITY: u64 = 16_384;

    /// Updates the limit and what is known of the server's warmth; `None` without a server.
    pub fn update(&mut self, now: Instant, rule: ColdRule, warmth: Option<BackendWarmth>) {
        if self.needs_new_count(rule) {
            self.counted_since = now;
            self.admitted.clear();
        }
        self.rule = rule;
        let surplus = self.admitted.len().saturating_sub(self.capacity());
        self.admitted.drain(..surplus);
        let is_late_enough =
            |at: Instant| self.doubted_at.is_none_or(|doubted| at >= doubted + Self::SETTLE_TIME);
        self.is_warm = warmth.is_some_and(|warmth| !warmth.is_cold);
        if warmth.is_some_and(|warmth| is_late_enough(warmth.announced_at)) {
            self.doubted_at = None;
        }
    }

    /// Records that the server may have restarted. It counts as cold until the next announcement.
    /// Returns whether this limits its calls.
    pub fn doubt(&mut self, now: Instant) -> bool {
        self.doubted_at = self.doubted_at.max(Some(now));
        self.has_limit()
    }

    /// Returns since when the server may have restarted without an announcement, if its calls are
    /// limited.
    pub fn doubted_at(&self) -> Option<Instant> {
        self.doubted_at.filter(|_| self.has_limit())
    }

    /// Admits a call at `now`. Returns false if the server can't take it yet.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        if self.wait(now, 0).is_none_or(|wait| wait.get() > 0) {
            return false;
        }
        if let ColdRule::Limited(_) = self.rule {
            if self.admitted.len() >= self.capacity() {
                self.admitted.pop_front();
            }
            self.admitted.push_back(now);
        }
        true
    }

    /// Returns how long a call with `ahead` calls before it waits until it is admitted; `None` if
    /// that is not known.
    pub fn wait(&self, now: Instant, ahead: usize) -> Option<Micros> {
        if !self.is_limiting() {
            return Some(Micros::new(0));
        }
        let ColdRule::Limited(rate) = self.rule else { return None };
        let (capacity, window) = (self.capacity(), window(rate));
        // Each further window admits as many calls as the one before.
        let (later_windows, place) = (ahead / capacity, ahead % capacity);
        let after = (self.admitted.len() + place).checked_sub(capacity);
        let after = after.and_then(|index| self.admitted.get(index));
        let first = self.counted_since + Self::MIN_WINDOW;
        let at = after.map_or(first, |admitted| first.max(*admitted + window)).max(now);
        let later = window.get().saturating_mul(later_windows as u64);
        Some((at + Micros::new(later)).since(now))
    }

    /// Returns whether the server counts as cold and its calls are or may be limited.
    pub fn is_limiting(&self) -> bool {
        let is_warm = self.is_warm && self.doubted_at.is_none();
        self.rule != ColdRule::Unlimited && !is_warm
    }

    const fn has_limit(&self) -> bool {
        matches!(self.rule, ColdRule::Limited(_))
    }

    /// Returns whether the calls recorded so far are not enough to enforce `rule`.
    fn needs_new_count(&self, rule: ColdRule) -> bool {
        match (self.rule, rule) {
            (ColdRule::Limited(before), ColdRule::Limited(rate)) => rate > before,
            (_, ColdRule::Limited(_)) => true,
            _ => false,
        }
    }

    /// Returns the largest number of calls in a window.
    fn capacity(&self) -> usize {
        let ColdRule::Limited(rate) = self.rule else { return 0 };
        usize::try_from(calls_per_window(rate)).unwrap_or(usize::MAX)
    }
}

/// Returns the number of calls that are admitted in a window, at least one.
fn calls_per_window(rate: CallRate) -> u64 {
    let milli = rate.milli().saturating_mul(ColdLimiter::RATE_PERCENT) / 100;
    (milli / 1_000).clamp(1, ColdLimiter::MAX_CAPACITY)
}

/// Returns the length of a window; longer than a second if the rate is below one call in it.
fn window(rate: CallRate) -> Micros {
    let milli = rate.milli().saturating_mul(ColdLimiter::RATE_PERCENT) / 100;
    ColdLimiter::MIN_WINDOW.max(Micros::new(1_000_000_000 / milli.max(1)))
}
