//! When a node chooses the calls that it refuses by what serving them is worth.

use std::fmt;
use std::str::FromStr;

use almondsail_core::fleet::QueuePolicy;

/// When a node chooses the calls that it refuses by what serving them is worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LoadShedding {
    /// If the configuration has teams.
    #[default]
    Teams,
    /// Always.
    Value,
}

/// Error for an unknown kind of load shedding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLoadSheddingError;

impl LoadShedding {
    const ALL: [Self; 2] = [Self::Teams, Self::Value];

    /// Returns the policy of the queue for a configuration that has teams or not.
    pub const fn policy(self, has_teams: bool) -> QueuePolicy {
        match (self, has_teams) {
            (_, true) => QueuePolicy::TeamValue,
            (Self::Value, false) => QueuePolicy::Value,
            (Self::Teams, false) => QueuePolicy::Target,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Teams => "teams",
            Self::Value => "value",
        }
    }
}

impl fmt::Display for LoadShedding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for LoadShedding {
    type Err = ParseLoadSheddingError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == s).ok_or(ParseLoadSheddingError)
    }
}

impl fmt::Display for ParseLoadSheddingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected teams or value")
    }
}

impl std::error::Error for ParseLoadSheddingError {}
