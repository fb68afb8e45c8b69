//! Eras of the store.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// An era of the store, which rises each time the store is restored from an earlier copy. Revisions
/// and lease ids of one era say nothing about those of another: they are given out again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates the era with the number `n`; zero for a store that was never restored.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of this era.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| ParseIdError::new("store era", s, "a whole number"))
    }
}
