//! How a call ended for its caller.

use almondsail_core::Verdict;

use crate::backend::Echo;

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer to this very request came.
    Answered(Box<Echo>),
    /// The mesh stated what it knows of the execution.
    Verdict(Verdict, String),
    /// An answer came that is not the one to this request.
    WrongAnswer(String),
    /// The connection to the entry node could not be opened.
    NotConnected(String),
    /// The exchange with the entry node broke without a verdict.
    Broken(String),
}

impl CallOutcome {
    /// Whether the call may be sent again even if it is not idempotent.
    pub fn is_safe_to_retry(&self) -> bool {
        match self {
            Self::Verdict(verdict, _) => verdict.is_safe_to_retry(),
            Self::NotConnected(_) => true,
            Self::Answered(_) | Self::WrongAnswer(_) | Self::Broken(_) => false,
        }
    }
}
