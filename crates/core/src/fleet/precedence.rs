//! The precedence of a call in a queue that orders by value.

use crate::fleet::CallRank;

/// The precedence of a call in a queue that orders by value. Lower ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Precedence {
    /// The call is of a kind, or of a team, that is served far less often than others.
    Underserved,
    /// A running call made the call, and its work is lost if this one is refused.
    MadeByRunningCall,
    /// The call goes by its rank.
    Ranked(CallRank),
    /// The call is beyond what its team usually needs, while the team makes far more calls than
    /// usual.
    Surplus(CallRank),
}

impl Precedence {
    /// Returns the rank within which the fair shares of teams order the calls of this precedence;
    /// `None` if targets alone do.
    pub(super) const fn shared_rank(self) -> Option<CallRank> {
        match self {
            Self::Ranked(rank) | Self::Surplus(rank) => Some(rank),
            Self::Underserved | Self::MadeByRunningCall => None,
        }
    }
}
