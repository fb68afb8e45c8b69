//! Counts of calls by outcome and latency.

use almondsail_core::units::Micros;
use almondsail_core::{RefusalReason, RetryReason};

/// The number of latency buckets; the last one has no upper bound.
pub const LATENCY_BUCKETS: usize = 41;

/// Returns the inclusive upper bound of latency bucket `i`: 100 us, 150 us, 200 us, 300 us and so
/// on; `None` for the last bucket.
pub const fn latency_bound(i: usize) -> Option<Micros> {
    const FIRST: [u64; 2] = [100, 150];
    if i + 1 < LATENCY_BUCKETS { Some(Micros::new(FIRST[i % 2] << (i / 2))) } else { None }
}

/// The counts for one [`CounterKey`](super::CounterKey), as totals or as a difference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCounts {
    /// The number of calls that ended, with any result.
    pub calls: u64,
    /// The complete answers of a backend server with status 500 or above.
    pub server_errors: u64,
    /// The calls whose caller disconnected before the end of the answer.
    pub cancelled: u64,
    /// The failed calls by reason, in the order of [`RefusalReason::ALL`].
    pub failures: [u64; RefusalReason::ALL.len()],
    /// The retries by reason, in the order of [`RetryReason::ALL`].
    pub retries: [u64; RetryReason::ALL.len()],
    /// The complete answers without a server error by latency bucket; see [`latency_bound`].
    pub latency: [u64; LATENCY_BUCKETS],
}

impl CallCounts {
    /// The counts of a route and version without any calls.
    pub const ZERO: Self = Self {
        calls: 0,
        server_errors: 0,
        cancelled: 0,
        failures: [0; RefusalReason::ALL.len()],
        retries: [0; RetryReason::ALL.len()],
        latency: [0; LATENCY_BUCKETS],
    };

    /// Returns the difference to `earlier`, an older state of the same counters.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let diff = |i: &u64, j: &u64| i.wrapping_sub(*j);
        Self {
            calls: diff(&self.calls, &earlier.calls),
            server_errors: diff(&self.server_errors, &earlier.server_errors),
            cancelled: diff(&self.cancelled, &earlier.cancelled),
            failures: std::array::from_fn(|i| diff(&self.failures[i], &earlier.failures[i])),
            retries: std::array::from_fn(|i| diff(&self.retries[i], &earlier.retries[i])),
            latency: std::array::from_fn(|i| diff(&self.latency[i], &earlier.latency[i])),
        }
    }
}
