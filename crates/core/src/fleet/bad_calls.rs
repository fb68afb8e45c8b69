//! How many calls of a version were bad.

use std::fmt;

/// The failed or slow calls of a version, out of all its calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BadCalls {
    /// The calls that failed or were slow; at most `all`.
    pub bad: u64,
    /// All calls that were answered or failed.
    pub all: u64,
}

impl BadCalls {
    /// Returns the share of bad calls in percent, rounded down; zero without calls.
    pub(super) fn percent(self) -> u64 {
        100 * self.bad / self.all.max(1)
    }

    /// Adds the calls of another route.
    pub(super) fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.all += other.all;
    }
}

impl fmt::Display for BadCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.bad, self.all)
    }
}
