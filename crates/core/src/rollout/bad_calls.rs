//! Counts of the calls that failed or were slow.

use std::fmt;

/// The calls of one version that a test compares, and how many of them failed or were slow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BadCalls {
    /// The number of calls that the test looks at, good and bad ones.
    pub calls: u64,
    /// The number of those calls that failed or were slow, depending on the test.
    pub bad: u64,
}

impl fmt::Display for BadCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} calls", self.bad, self.calls)
    }
}
