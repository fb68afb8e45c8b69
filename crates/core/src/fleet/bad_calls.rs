//! How many calls of a version were bad.

use std::fmt;

/// The failed or slow calls of a version, out of all its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadCalls {
    /// The calls that failed or were slow; at most `all`.
    pub bad: u64,
    /// All calls that were answered or failed.
    pub all: u64,
}

impl fmt::Display for BadCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.bad, self.all)
    }
}
