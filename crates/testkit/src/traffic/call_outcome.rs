//! The outcome of a call as its caller sees it.

use almondsail_core::Verdict;

use crate::backend::Echo;

/// The outcome of a call as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received the complete answer to its request.
    Answered(Box<Echo>),
    /// The mesh answered with a verdict on whether the call ran, and its reason.
    Verdict(Verdict, String),
    /// The answer is malformed or belongs to another request; the text says why.
    WrongAnswer(String),
    /// The node refused the connection, so that nothing was sent.
    NotConnected(String),
    /// The exchange with the node failed without a verdict; the call may have run.
    Broken(String),
}

impl CallOutcome {
    /// Returns whether the call may be retried even if it is not idempotent.
    pub fn is_safe_to_retry(&self) -> bool {
        match self {
            Self::Verdict(verdict, _) => verdict.is_safe_to_retry(),
            Self::NotConnected(_) => true,
            Self::Answered(_) | Self::WrongAnswer(_) | Self::Broken(_) => false,
        }
    }
}
