//! The id of a lease in the store.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The id of a lease in the store, whose keys are removed when it lapses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(u64);

impl LeaseId {
    /// Creates the id from the number that the store gave the lease.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number that the store gave the lease.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LeaseId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| ParseIdError::new("lease", s, "a whole number"))
    }
}
