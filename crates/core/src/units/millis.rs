//! Durations as a whole number of milliseconds.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A duration in milliseconds, written `250ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(u64);

impl Millis {
    /// Creates a duration of `n` milliseconds.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix("ms")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "milliseconds such as 250ms"))
    }
}
