//! Durations as a whole number of microseconds.

use std::fmt;
use std::str::FromStr;

use super::{Millis, ParseUnitError};

/// A duration in microseconds, written `900us`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(u64);

impl Micros {
    /// Creates a duration of `n` microseconds.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of microseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Micros {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix("us")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "microseconds such as 900us"))
    }
}

impl From<Millis> for Micros {
    fn from(span: Millis) -> Self {
        const MICROS_PER_MILLI: u64 = 1_000;
        Self(span.get().saturating_mul(MICROS_PER_MILLI))
    }
}
