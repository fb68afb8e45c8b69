//! Wall-clock times in milliseconds since the Unix epoch.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;

use super::{Millis, ParseUnitError};

/// A wall-clock time in milliseconds since 1970-01-01T00:00:00Z, written `unix:1500ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Creates the time `n` milliseconds after 1970-01-01T00:00:00Z.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of milliseconds since 1970-01-01T00:00:00Z.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unix:{}ms", self.0)
    }
}

impl FromStr for UnixMillis {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix("unix:")
            .and_then(|s| s.strip_suffix("ms"))
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a wall-clock time such as unix:1500ms"))
    }
}

impl UnixMillis {
    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for UnixMillis {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.get()))
    }
}
