//! The revision of a value in the store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The revision of a value in the store; zero for a key without a value.
///
/// All keys share one sequence of revisions, so that a key that is deleted and
/// written again never gets an earlier revision a second time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// The revision of a key without a value.
    pub const NONE: Self = Self(0);

    /// Returns the next revision in the sequence.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}
