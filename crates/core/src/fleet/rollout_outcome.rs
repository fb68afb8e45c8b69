//! How a rollout ended.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutOutcome {
    /// The new version takes all calls.
    Completed,
    /// The new version was found bad, or had no server in time, and takes no calls.
    RolledBack,
}

impl RolloutOutcome {
    /// Every outcome, in the order of the variants.
    pub const ALL: [Self; 2] = [Self::Completed, Self::RolledBack];

    /// Returns the name of the outcome in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

impl fmt::Display for RolloutOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RolloutOutcome {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|outcome| outcome.as_str() == s)
            .ok_or_else(|| ParseIdError::new("rollout outcome", s, "completed or rolled_back"))
    }
}
