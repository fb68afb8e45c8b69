//! The state of a backend server.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BackendState {
    /// It takes calls, but slowly at first.
    Starting,
    /// It takes calls.
    Ready,
    /// It takes no new calls.
    Draining,
}

impl BackendState {
    /// Every state.
    pub const ALL: [Self; 3] = [Self::Starting, Self::Ready, Self::Draining];

    /// The state's text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

impl fmt::Display for BackendState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for BackendState {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|state| state.as_str() == s)
            .ok_or_else(|| ParseIdError::new("backend state", s, "starting, ready or draining"))
    }
}
