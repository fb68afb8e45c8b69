//! Counters for one combination of route, version and point of counting.

use std::sync::atomic::{AtomicU64, Ordering};

use almondsail_core::units::Micros;
use almondsail_core::{RefusalReason, RetryReason};

use super::{CallCounts, LATENCY_BUCKETS, latency_bound};

/// The counters for one [`CounterKey`](super::CounterKey). They never decrease.
#[derive(Debug)]
pub(crate) struct CounterSet {
    calls: AtomicU64,
    server_errors: AtomicU64,
    cancelled: AtomicU64,
    failures: [AtomicU64; RefusalReason::ALL.len()],
    retries: [AtomicU64; RetryReason::ALL.len()],
    latency: [AtomicU64; LATENCY_BUCKETS],
}

impl CounterSet {
    pub(crate) fn new() -> Self {
        let zero = |_| AtomicU64::new(0);
        Self {
            calls: AtomicU64::new(0),
            server_errors: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            failures: std::array::from_fn(zero),
            retries: std::array::from_fn(zero),
            latency: std::array::from_fn(zero),
        }
    }

    /// Counts a call with a complete answer. Server errors have no latency.
    pub(crate) fn count_answer(&self, latency: Micros, is_server_error: bool) {
        add(&self.calls);
        if is_server_error {
            add(&self.server_errors);
            return;
        }
        let is_above = |i: &usize| latency_bound(*i).is_some_and(|bound| bound < latency);
        let bucket = (0..LATENCY_BUCKETS).find(|i| !is_above(i)).unwrap_or(LATENCY_BUCKETS - 1);
        add(&self.latency[bucket]);
    }

    /// Counts a call that failed for `reason`.
    pub(crate) fn count_failure(&self, reason: RefusalReason) {
        add(&self.calls);
        add(&self.failures[reason as usize]);
    }

    /// Counts a call whose caller disconnected before the end of the answer.
    pub(crate) fn count_cancellation(&self) {
        add(&self.calls);
        add(&self.cancelled);
    }

    /// Counts a further attempt of a call, sent because of `reason`.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        add(&self.retries[reason as usize]);
    }

    /// Reads all counters one by one; calls that end meanwhile may be counted only in part.
    pub(crate) fn read(&self) -> CallCounts {
        CallCounts {
            calls: get(&self.calls),
            server_errors: get(&self.server_errors),
            cancelled: get(&self.cancelled),
            failures: std::array::from_fn(|i| get(&self.failures[i])),
            retries: std::array::from_fn(|i| get(&self.retries[i])),
            latency: std::array::from_fn(|i| get(&self.latency[i])),
        }
    }
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn get(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
