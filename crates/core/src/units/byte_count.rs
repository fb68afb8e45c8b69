//! Sizes as a whole number of bytes.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A number of bytes, written `1024B`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteCount(u64);

impl ByteCount {
    /// Creates a size of `n` bytes.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteCount {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix("B")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a number of bytes such as 1024B"))
    }
}
