//! Identifies a lease of the store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a lease of the store; ids are numbers that are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(u64);

impl LeaseId {
    /// Creates the id of the `n`th lease that a store grants.
    pub(crate) const fn new(n: u64) -> Self {
        Self(n)
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LeaseId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}
