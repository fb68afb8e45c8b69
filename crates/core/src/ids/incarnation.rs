//! The incarnation of a node.

use std::fmt;
use std::str::FromStr;

use super::ParseIdError;

/// The incarnation of a node's entry in the peer table. Only the node itself raises it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates the incarnation with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the incarnation as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next incarnation. Saturates at `u64::MAX`.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| {
            ParseIdError::new("incarnation", s, "a whole number from 0 to 18446744073709551615")
        })
    }
}
