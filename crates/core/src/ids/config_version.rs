//! The version of the configuration.

use std::fmt;
use std::str::FromStr;

use super::ParseIdError;

/// The version of the configuration. Zero means no configuration; the first accepted one is 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// Creates the version with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next version. Saturates at `u64::MAX`.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConfigVersion {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| {
            ParseIdError::new(
                "configuration version",
                s,
                "a whole number from 0 to 18446744073709551615",
            )
        })
    }
}
