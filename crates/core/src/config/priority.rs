//! The priority of the calls on a route.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Decides which queued calls are admitted first when a backend server has no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// A person waits for the answer, so the call is admitted first.
    Interactive,
    /// The answer can wait, so the call is admitted after interactive ones.
    Background,
}

impl Priority {
    /// Every priority, from the highest to the lowest.
    pub const ALL: [Self; 2] = [Self::Interactive, Self::Background];

    /// Returns the name of the priority in commands and in the stored configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Background => "background",
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Priority {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|priority| priority.as_str() == s)
            .ok_or_else(|| ParseIdError::new("priority", s, "interactive or background"))
    }
}
