//! Calls that the store counted.

use serde::{Deserialize, Serialize};

/// Calls since the counts were last cleared, whether refused or not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads that did not wait.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Reads that waited for a change.
    pub watches: u64,
    /// Grants, renewals and ends of leases.
    pub leases: u64,
    /// Those of the above that were refused with 503.
    pub refused: u64,
}

impl StoreCounts {
    /// Calls of every kind.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches + self.leases
    }
}
