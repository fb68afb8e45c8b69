//! A rate of calls.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A rate of calls, written `10/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallsPerSecond(u64);

impl CallsPerSecond {
    /// The quantity for the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// The number, in this type's unit.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CallsPerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for CallsPerSecond {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix("/s")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a rate such as 10/s"))
    }
}
