//! A histogram of call latencies.

use crate::units::Micros;

/// A histogram of call latencies with fixed buckets.
///
/// The upper bound of each bucket is that of the one before times the square root of 2, from 1 ms
/// to 8.2 s; the last bucket holds all longer latencies. The buckets are the same on every node,
/// so that counts merge by addition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyCounts([u32; Self::BUCKETS]);

impl LatencyCounts {
    /// The number of latency buckets.
    pub const BUCKETS: usize = 28;
    /// The upper bounds of the first two buckets; each further bound is twice the one two buckets
    /// before.
    const FIRST_BOUNDS: [Micros; 2] = [Micros::new(1_000), Micros::new(1_414)];

    /// Creates a histogram from the number of calls in each bucket.
    pub const fn new(counts: [u32; Self::BUCKETS]) -> Self {
        Self(counts)
    }

    /// Returns the number of calls in each bucket, fastest first.
    pub const fn counts(&self) -> &[u32; Self::BUCKETS] {
        &self.0
    }

    /// Returns the index of the bucket that `latency` falls into.
    pub fn bucket(latency: Micros) -> usize {
        let fits = |i: &usize| latency.get() <= Self::FIRST_BOUNDS[i % 2].get() << (i / 2);
        (0..Self::BUCKETS - 1).find(fits).unwrap_or(Self::BUCKETS - 1)
    }

    /// Counts `calls` calls that took `latency`.
    pub fn record(&mut self, latency: Micros, calls: u32) {
        self.record_in(Self::bucket(latency), calls);
    }

    /// Counts `calls` calls that timed out, in the last bucket.
    pub fn record_timeouts(&mut self, calls: u32) {
        self.record_in(Self::BUCKETS - 1, calls);
    }

    fn record_in(&mut self, bucket: usize, calls: u32) {
        self.0[bucket] = self.0[bucket].saturating_add(calls);
    }

    /// Adds the counts of a disjoint set of calls.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
    }

    /// Merges another state of the same counters by keeping the higher, later count of each bucket.
    pub fn join(&mut self, other: &Self) {
        for (count, later) in self.0.iter_mut().zip(other.0) {
            *count = (*count).max(later);
        }
    }

    /// Returns the number of calls in all buckets.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|&n| u64::from(n)).sum()
    }

    /// Returns the number of calls in buckets slower than `bucket`.
    pub fn count_above(&self, bucket: usize) -> u64 {
        self.0.iter().skip(bucket + 1).map(|&n| u64::from(n)).sum()
    }

    /// Returns the lowest bucket that at most `share` of the calls exceed; `None` without calls.
    pub fn quantile_bucket(&self, share: f64) -> Option<usize> {
        let total = self.total();
        let is_high = |&bucket: &usize| self.count_above(bucket) as f64 <= share * total as f64;
        if total == 0 { None } else { (0..Self::BUCKETS).find(is_high) }
    }

    /// Returns the mean bucket index, a logarithmic measure of speed; `None` without calls.
    pub fn mean_bucket(&self) -> Option<f64> {
        let weighted = |(i, &n): (usize, &u32)| i as f64 * f64::from(n);
        let total = self.total();
        let sum: f64 = self.0.iter().enumerate().map(weighted).sum();
        (total > 0).then(|| sum / total as f64)
    }
}
