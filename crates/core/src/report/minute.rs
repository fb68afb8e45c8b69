//! A minute of wall-clock time.

use std::fmt;
use std::str::FromStr;

use crate::units::{Millis, ParseUnitError, UnixMillis};

/// A minute, counted from 1970-01-01T00:00:00Z and written `minute:7`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Minute(u64);

impl Minute {
    /// The length of a minute in milliseconds.
    pub const LENGTH: Millis = Millis::new(60_000);

    /// Creates the minute that begins `n` minutes after 1970-01-01T00:00:00Z.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the minute that contains `at`.
    pub const fn at(at: UnixMillis) -> Self {
        Self(at.get() / Self::LENGTH.get())
    }

    /// Returns the time at which the minute begins.
    pub const fn start(self) -> UnixMillis {
        UnixMillis::new(self.0.saturating_mul(Self::LENGTH.get()))
    }

    /// Returns the number of minutes since 1970-01-01T00:00:00Z.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of minutes from `earlier` to this one, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Minute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "minute:{}", self.0)
    }
}

impl FromStr for Minute {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix("minute:")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a minute such as minute:7"))
    }
}
