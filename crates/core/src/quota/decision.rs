//! Decisions on the calls of teams with quotas.

use crate::units::{Instant, Micros};

/// How long a call of a team with a quota may wait for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaCall {
    /// When the call is refused if it has no token by then.
    pub latest: Instant,
    /// Whether the last decision on the call was [`QuotaDecision::Wait`].
    pub is_waiting: bool,
}

/// Decides whether a call of a team with a quota goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The call has a token of the owner or its deputy, which expires at the instant.
    Granted(Instant),
    /// The call has a token of the node's local share, because the owner doesn't answer.
    LocalShare,
    /// The call waits: the decision is taken again once a grant arrives, or at the instant.
    Wait(Instant),
    /// The team has used up its quota; there may be a token after the time.
    Refused(Micros),
    /// The owner doesn't answer and the local share is used up; there may be a token after the
    /// time.
    Unknown(Micros),
}
