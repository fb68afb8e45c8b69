//! The role of a version in its service.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The role of a version in its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRole {
    /// The version takes all traffic that no rollout moves.
    Stable,
    /// An open rollout moves traffic to the version.
    Incoming,
    /// The last rollout moved all traffic away from the version, which is kept ready.
    Previous,
    /// The version takes no traffic.
    Idle,
}

impl VersionRole {
    /// Every role, in the order of declaration.
    pub const ALL: [Self; 4] = [Self::Stable, Self::Incoming, Self::Previous, Self::Idle];

    /// Returns the name of the role in answers to operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stable => "stable",
            Self::Incoming => "incoming",
            Self::Previous => "previous",
            Self::Idle => "idle",
        }
    }
}

impl fmt::Display for VersionRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for VersionRole {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|role| role.as_str() == s).ok_or_else(|| {
            ParseIdError::new("version role", s, "stable, incoming, previous or idle")
        })
    }
}
