//! Counts of calls by latency.

use crate::units::Micros;

/// Counts of calls in fixed buckets of latency.
///
/// Each bucket's upper bound is higher than the one before by the square root of
/// 2, from 1 ms to 8.2 s; the last bucket holds all longer latencies. The buckets
/// are the same on every node, so that counts merge by addition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyCounts([u32; Self::BUCKETS]);

impl LatencyCounts {
    /// Number of buckets.
    pub const BUCKETS: usize = 28;
    /// The upper bounds of the first two buckets; each other one is twice as high
    /// as the one two before.
    const FIRST_BOUNDS: [Micros; 2] = [Micros::new(1_000), Micros::new(1_414)];

    /// Counts from one number for each bucket.
    pub const fn new(counts: [u32; Self::BUCKETS]) -> Self {
        Self(counts)
    }

    /// The number of calls in each bucket.
    pub const fn counts(&self) -> &[u32; Self::BUCKETS] {
        &self.0
    }

    /// The bucket of `latency`.
    pub fn bucket(latency: Micros) -> usize {
        let fits = |i: &usize| latency.get() <= Self::FIRST_BOUNDS[i % 2].get() << (i / 2);
        (0..Self::BUCKETS - 1).find(fits).unwrap_or(Self::BUCKETS - 1)
    }

    /// Counts calls of `latency`.
    pub fn record(&mut self, latency: Micros, calls: u32) {
        self.record_in(Self::bucket(latency), calls);
    }

    /// Counts calls that ended by their deadline, in the last bucket.
    pub fn record_timeouts(&mut self, calls: u32) {
        self.record_in(Self::BUCKETS - 1, calls);
    }

    fn record_in(&mut self, bucket: usize, calls: u32) {
        self.0[bucket] = self.0[bucket].saturating_add(calls);
    }

    /// Adds the counts of other calls.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
    }

    /// Takes the higher count of each bucket: the later state of the same counter.
    pub fn join(&mut self, other: &Self) {
        for (count, later) in self.0.iter_mut().zip(other.0) {
            *count = (*count).max(later);
        }
    }

    /// The number of calls.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|&n| u64::from(n)).sum()
    }

    /// The number of calls slower than `bucket`.
    pub fn above(&self, bucket: usize) -> u64 {
        self.0.iter().skip(bucket + 1).map(|&n| u64::from(n)).sum()
    }

    /// The lowest bucket that at most `share` of the calls exceed; `None` without calls.
    pub fn quantile_bucket(&self, share: f64) -> Option<usize> {
        let total = self.total();
        let is_high = |&bucket: &usize| self.above(bucket) as f64 <= share * total as f64;
        if total == 0 { None } else { (0..Self::BUCKETS).find(is_high) }
    }

    /// The mean bucket, a logarithmic measure of speed; `None` without calls.
    pub fn mean_bucket(&self) -> Option<f64> {
        let weighted = |(i, &n): (usize, &u32)| i as f64 * f64::from(n);
        let total = self.total();
        let sum: f64 = self.0.iter().enumerate().map(weighted).sum();
        (total > 0).then(|| sum / total as f64)
    }
}
