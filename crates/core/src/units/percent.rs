//! Percentages that may exceed the whole.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A percentage, written `250%`. Unlike [`PerMille`](super::PerMille) it may exceed 100%.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u32);

impl Percent {
    /// The percentage of the whole.
    pub const WHOLE: Self = Self(100);

    /// Creates a percentage of `n` hundredths.
    pub const fn new(n: u32) -> Self {
        Self(n)
    }

    /// Returns the number of hundredths.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the percentage as a factor, 1.0 for 100%.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix('%')
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a percentage such as 250%"))
    }
}
