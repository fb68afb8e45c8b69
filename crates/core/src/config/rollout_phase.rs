//! The phase of a rollout.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// How far a rollout has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutPhase {
    /// The share of the new version grows with the evidence.
    Ramping,
    /// The share stays until an operator resumes the rollout.
    Held,
    /// The new version takes all traffic; the old one stays ready for a while.
    Completed,
    /// The new version was stopped and the old one takes all traffic.
    RolledBack,
}

impl RolloutPhase {
    /// Every phase.
    pub const ALL: [Self; 4] = [Self::Ramping, Self::Held, Self::Completed, Self::RolledBack];

    /// The phase's text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ramping => "ramping",
            Self::Held => "held",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }

    /// Whether the rollout still moves traffic or may do so again.
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
