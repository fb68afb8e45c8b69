//! Ids of requests within a process.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Matches a reply to its request. Unique within the lifetime of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Creates the id with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of this id.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| ParseIdError::new("request id", s, "a whole number"))
    }
}
