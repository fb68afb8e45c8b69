//! The revision of the configuration's value.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The revision of a value in the store; zero while there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// The revision with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| ParseIdError::new("revision", s, "a whole number"))
    }
}
