//! Reasons for retrying a call.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The reason for which a call was retried on another backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The connection to the endpoint could not be opened, or broke before the call could run.
    ConnectFailed,
    /// The endpoint refused the call before running it.
    RefusedUnrun,
    /// The backend server is shutting down.
    Leaving,
    /// An idempotent call that may have run got a broken or malformed answer.
    IdempotentBroken,
}

impl RetryReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 4] =
        [Self::ConnectFailed, Self::RefusedUnrun, Self::Leaving, Self::IdempotentBroken];

    /// Returns the name of the reason in metrics.
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
