//! Numbers of tokens.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;

/// A number of tokens, each of which allows one call, written `12tokens`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenCount(u32);

impl TokenCount {
    /// The largest number of tokens in one message.
    pub const MAX: Self = Self(100_000);

    /// Creates a number of `n` tokens.
    pub const fn new(n: u32) -> Self {
        Self(n)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}tokens", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix("tokens")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a number of tokens such as 12tokens"))
    }
}
