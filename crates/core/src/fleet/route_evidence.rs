//! Counts of a route's calls, as evidence for a version.

use std::fmt;

use crate::ids::RouteName;
use crate::units::Micros;

/// Identifies a route in evidence by a hash of its name, which is short enough for heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Creates the key from the hash `n`, as heartbeats carry it.
    pub const fn new(n: u32) -> Self {
        Self(n)
    }

    /// Returns the hash, as heartbeats carry it.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the key of `route`: the FNV-1a hash of its name.
    pub fn of(route: &RouteName) -> Self {
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let hash = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        Self(route.as_str().bytes().fold(OFFSET, hash))
    }
}

impl fmt::Display for RouteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Counts the calls of one route, or of several, that servers of a version answered or failed. A
/// server's own counts stay at [`Self::MAX_COUNT`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// The calls that failed after they were sent.
    pub failures: u32,
    /// The answered calls in each bucket of a logarithmic histogram of their times.
    pub times: [u32; Self::BUCKETS],
}

impl RouteEvidence {
    /// The number of buckets of the histogram; each spans a factor of the square root of two.
    pub const BUCKETS: usize = 24;
    /// The number of buckets that span a factor of four.
    pub const FOURFOLD_BUCKETS: usize = 4;
    /// The upper bound of the lowest bucket, in microseconds.
    const LOWEST_BUCKET_BOUND_MICROS: f64 = 8_000.0;

    /// The largest count of a server. Bounds the size of evidence in heartbeats.
    pub const MAX_COUNT: u32 = (1 << 21) - 1;

    /// Counts an answer that took `took`.
    pub fn record_answer(&mut self, took: Micros) {
        let count = &mut self.times[Self::bucket(took)];
        *count = (*count + 1).min(Self::MAX_COUNT);
    }

    /// Counts a call that failed after it was sent.
    pub fn record_failure(&mut self) {
        self.failures = (self.failures + 1).min(Self::MAX_COUNT);
    }

    /// Returns the number of answered and failed calls.
    pub fn calls(&self) -> u64 {
        u64::from(self.failures) + self.answers()
    }

    /// Returns the number of answered calls.
    pub fn answers(&self) -> u64 {
        self.answers_from(0)
    }

    /// Adds the counts of another node, which may have any value.
    pub fn add(&mut self, other: &Self) {
        self.failures = self.failures.saturating_add(other.failures);
        for (sum, n) in self.times.iter_mut().zip(other.times) {
            *sum = sum.saturating_add(n);
        }
    }

    /// Returns the bucket of the given percentile of the answers' times; `None` without answers.
    pub fn percentile(&self, percent: u64) -> Option<usize> {
        let rank = (self.answers() * percent).div_ceil(100);
        let mut seen = 0;
        self.times.iter().position(|n| {
            seen += u64::from(*n);
            seen >= rank && rank > 0
        })
    }

    /// Returns the number of buckets between the 20th and the 80th percentile; `None` without
    /// answers.
    pub fn spread(&self) -> Option<usize> {
        Some(self.percentile(80)? - self.percentile(20)?)
    }

    /// Returns the number of answers in `bucket` and above.
    pub fn answers_from(&self, bucket: usize) -> u64 {
        self.times.iter().skip(bucket).copied().map(u64::from).sum()
    }

    fn bucket(took: Micros) -> usize {
        let ratio = took.get() as f64 / Self::LOWEST_BUCKET_BOUND_MICROS;
        let step = (2.0 * ratio.log2()).ceil();
        if step > 0.0 { (step as usize).min(Self::BUCKETS - 1) } else { 0 }
    }
}
