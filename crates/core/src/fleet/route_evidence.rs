//! What the calls of one route show of a version.

use std::fmt;

use crate::ids::RouteName;
use crate::units::Micros;

/// A route in evidence: a hash of its name, which is short enough for heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

impl RouteKey {
    /// The key for the number `n`.
    pub const fn new(n: u32) -> Self {
        Self(n)
    }

    /// The number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The key of `route`: the FNV-1a hash of its name.
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

/// What the calls of one route show of a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// Calls that failed after they were sent.
    pub failures: u32,
    /// Calls that were answered, by the logarithm of the time that they took.
    pub times: [u32; Self::BUCKETS],
}

impl RouteEvidence {
    /// The number of buckets; each spans a factor of the square root of two.
    pub const BUCKETS: usize = 24;
    /// Buckets that a time four times as long lies higher.
    pub const FOURFOLD_BUCKETS: usize = 4;
    /// The upper bound of the lowest bucket.
    const LOWEST_BUCKET_BOUND_MICROS: f64 = 8_000.0;

    /// Counts an answer that took `took`.
    pub fn answered(&mut self, took: Micros) {
        self.times[Self::bucket(took)] += 1;
    }

    /// Counts a failure.
    pub fn failed(&mut self) {
        self.failures += 1;
    }

    /// The number of calls.
    pub fn calls(&self) -> u32 {
        self.failures + self.answers()
    }

    /// The number of answers.
    pub fn answers(&self) -> u32 {
        self.times.iter().sum()
    }

    /// Adds what another node observed.
    pub fn add(&mut self, other: &Self) {
        self.failures += other.failures;
        for (sum, n) in self.times.iter_mut().zip(other.times) {
            *sum += n;
        }
    }

    /// The bucket of the answer that `percent` of the answers are not slower than.
    pub fn percentile(&self, percent: u32) -> Option<usize> {
        let rank = (self.answers() * percent).div_ceil(100);
        let mut seen = 0;
        self.times.iter().position(|n| {
            seen += n;
            seen >= rank && rank > 0
        })
    }

    /// The buckets between the fast and the slow fifth of the answers.
    pub fn spread(&self) -> Option<usize> {
        Some(self.percentile(80)? - self.percentile(20)?)
    }

    /// The answers in `bucket` and above.
    pub fn answers_from(&self, bucket: usize) -> u32 {
        self.times.iter().skip(bucket).sum()
    }

    fn bucket(took: Micros) -> usize {
        let ratio = took.get() as f64 / Self::LOWEST_BUCKET_BOUND_MICROS;
        let step = (2.0 * ratio.log2()).ceil();
        if step > 0.0 { (step as usize).min(Self::BUCKETS - 1) } else { 0 }
    }
}
