//! The phase of a rollout.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutPhase {
    /// The new version's share grows as evidence for its health accumulates.
    Ramping,
    /// The new version's share stays the same until an operator resumes the rollout.
    Held,
    /// The new version takes all traffic. The old one stays ready for a while, for a rollback.
    Completed,
    /// The new version is stopped and the old one takes all traffic.
    RolledBack,
}

impl RolloutPhase {
    /// Every phase, in the order of declaration.
    pub const ALL: [Self; 4] = [Self::Ramping, Self::Held, Self::Completed, Self::RolledBack];

    /// Returns the name of the phase in the stored configuration and in answers to operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ramping => "ramping",
            Self::Held => "held",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }

    /// Returns whether the rollout moves traffic or can be resumed.
    pub const fn is_open(self) -> bool {
        match self {
            Self::Ramping | Self::Held => true,
            Self::Completed | Self::RolledBack => false,
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RolloutPhase {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|phase| phase.as_str() == s).ok_or_else(|| {
            ParseIdError::new("rollout phase", s, "ramping, held, completed or rolled-back")
        })
    }
}
