//! Reasons for sending a call again.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Why a call was sent to another backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The connection to the endpoint could not be opened.
    ConnectFailed,
    /// The endpoint refused the call before it ran.
    RefusedUnrun,
    /// The backend server is leaving.
    Leaving,
    /// The exchange of an idempotent call broke.
    IdempotentBroken,
}

impl RetryReason {
    /// Every reason.
    pub const ALL: [Self; 4] =
        [Self::ConnectFailed, Self::RefusedUnrun, Self::Leaving, Self::IdempotentBroken];

    /// The reason's text in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::RefusedUnrun => "refused_unrun",
            Self::Leaving => "leaving",
            Self::IdempotentBroken => "idempotent_broken",
        }
    }
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RetryReason {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|reason| reason.as_str() == s)
            .ok_or_else(|| ParseIdError::new("retry reason", s, "one of the documented reasons"))
    }
}
