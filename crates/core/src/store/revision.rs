//! Revisions of values in the store.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Revision of a value in the store, which rises with each write; zero while there is no value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// Creates the revision with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of this revision.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| ParseIdError::new("revision", s, "a whole number"))
    }
}
