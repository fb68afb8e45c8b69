//! Monotonic time of a process.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;

use super::{Micros, Millis, ParseUnitError};

/// A monotonic time in microseconds since the start of the process, written `@1500us`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Creates the time `n` microseconds after the start of the process.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of microseconds since the start of the process.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@{}us", self.0)
    }
}

impl FromStr for Instant {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix("@")
            .and_then(|s| s.strip_suffix("us"))
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "an instant such as @1500us"))
    }
}

impl Instant {
    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Micros {
        Micros::new(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Micros> for Instant {
    type Output = Self;

    fn add(self, span: Micros) -> Self {
        Self(self.0.saturating_add(span.get()))
    }
}

impl Add<Millis> for Instant {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        self + Micros::from(span)
    }
}
