//! Reasons for dropping a grant.

use std::fmt;

/// The reason for which a grant is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GrantProblem {
    /// No request with its number is pending: it is late, a copy, or was never asked for.
    Unsolicited,
    /// It comes from another address than the request went to, or names another team.
    WrongSender,
    /// Its tokens have expired, or it grants more than was asked for.
    OutOfRange,
}

impl GrantProblem {
    /// Returns the name of the reason in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsolicited => "unsolicited",
            Self::WrongSender => "wrong_sender",
            Self::OutOfRange => "out_of_range",
        }
    }
}

impl fmt::Display for GrantProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
