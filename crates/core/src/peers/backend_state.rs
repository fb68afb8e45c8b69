//! State of a backend server.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// State that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BackendState {
    /// The backend server has just started and takes calls at a reduced rate at first.
    Starting,
    /// The backend server takes calls at its full rate.
    Ready,
    /// The backend server finishes its calls and takes no new ones.
    Draining,
}

impl BackendState {
    /// Every state, in the order of declaration.
    pub const ALL: [Self; 3] = [Self::Starting, Self::Ready, Self::Draining];

    /// Returns the name of the state in announcements and output.
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
