//! Counts of the calls that the store received.

use serde::{Deserialize, Serialize};

/// Calls received since the counts were last reset, including rejected ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Number of reads without a `watch` parameter.
    pub reads: u64,
    /// Number of writes, whether they took effect or not.
    pub writes: u64,
    /// Number of reads that wait for a change.
    pub watches: u64,
    /// Number of calls that grant, renew or end a lease.
    pub leases: u64,
    /// Number of calls of any kind that were rejected with status 503.
    pub refused: u64,
}

impl StoreCounts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches + self.leases
    }
}
