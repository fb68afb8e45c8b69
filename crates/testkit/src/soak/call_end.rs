//! Ends of calls at their callers.

use http::StatusCode;

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller got an answer.
    Answer {
        /// The status of the answer.
        status: StatusCode,
        /// The id of the call that the answer names; empty if absent.
        id: String,
        /// The signature of the server; empty if absent.
        signature: String,
        /// The reason that a node gives for its own answer; empty if absent.
        reason: String,
        /// The body.
        body: String,
    },
    /// The connection ended before the answer was complete.
    Cut,
    /// The caller gave up long after the deadline of the call.
    TimedOut,
}

impl CallEnd {
    /// Returns the status of the answer, if there is one.
    pub const fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Answer { status, .. } => Some(*status),
            Self::Cut | Self::TimedOut => None,
        }
    }
}
