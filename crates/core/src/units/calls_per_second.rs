//! Rates of calls per second.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A rate in calls per second, written `10/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallsPerSecond(u64);

impl CallsPerSecond {
    /// Creates a rate of `n` calls per second.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of calls per second.
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
