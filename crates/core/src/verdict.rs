//! Whether a failed request may have run.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Whether a failed request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No byte of the request was sent to a backend server.
    NotSent,
    /// A node or backend server refused the request before running it.
    RefusedUnrun,
    /// The request may have run, in whole or in part.
    MayHaveRun,
}

impl Verdict {
    /// Every verdict, in the order of declaration.
    pub const ALL: [Self; 3] = [Self::NotSent, Self::RefusedUnrun, Self::MayHaveRun];

    /// Returns whether a non-idempotent request may be retried after this verdict.
    ///
    /// ```
    /// use almondsail_core::Verdict;
    ///
    /// assert!(Verdict::RefusedUnrun.is_safe_to_retry());
    /// assert!(!Verdict::MayHaveRun.is_safe_to_retry());
    /// ```
    pub const fn is_safe_to_retry(self) -> bool {
        match self {
            Self::NotSent | Self::RefusedUnrun => true,
            Self::MayHaveRun => false,
        }
    }

    /// Returns the name of the verdict in response headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::RefusedUnrun => "refused-unrun",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|verdict| verdict.as_str() == s).ok_or_else(|| {
            ParseIdError::new("verdict", s, "not-sent, refused-unrun or may-have-run")
        })
    }
}
