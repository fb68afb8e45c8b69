//! Calls that count against a version.

use std::fmt;

/// Calls of a version, and how many of them count against it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BadCalls {
    /// The calls.
    pub calls: u64,
    /// Those that failed, or were slow.
    pub bad: u64,
}

impl fmt::Display for BadCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} calls", self.bad, self.calls)
    }
}
