//! An hour of wall-clock time.

use std::fmt;
use std::str::FromStr;

use crate::report::Minute;
use crate::units::{ParseUnitError, UnixMillis};

/// An hour, counted from 1970-01-01T00:00:00Z and written `hour:7`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hour(u64);

impl Hour {
    /// Number of minutes in an hour.
    pub const MINUTES: u64 = 60;

    /// Creates the hour that begins `n` hours after 1970-01-01T00:00:00Z.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the hour that contains `minute`.
    pub const fn of(minute: Minute) -> Self {
        Self(minute.get() / Self::MINUTES)
    }

    /// Returns the hour that contains `at`.
    pub const fn at(at: UnixMillis) -> Self {
        Self::of(Minute::at(at))
    }

    /// Returns the number of hours since 1970-01-01T00:00:00Z.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the first minute of the hour.
    pub const fn first(self) -> Minute {
        Minute::new(self.0.saturating_mul(Self::MINUTES))
    }
}

impl fmt::Display for Hour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "hour:{}", self.0)
    }
}

impl FromStr for Hour {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix("hour:")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "an hour such as hour:7"))
    }
}
