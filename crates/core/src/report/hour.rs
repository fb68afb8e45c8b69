//! An hour of wall-clock time.

use std::fmt;
use std::str::FromStr;

use crate::report::Minute;
use crate::units::{ParseUnitError, UnixMillis};

/// An hour, numbered from 1970-01-01T00:00:00Z; written `hour:7`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hour(u64);

impl Hour {
    /// Number of minutes in an hour.
    pub const MINUTES: u64 = 60;

    /// The hour with this number.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// The hour that contains `minute`.
    pub const fn of(minute: Minute) -> Self {
        Self(minute.get() / Self::MINUTES)
    }

    /// The hour that contains `at`.
    pub const fn at(at: UnixMillis) -> Self {
        Self::of(Minute::at(at))
    }

    /// The hour's number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The hour's first minute.
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
