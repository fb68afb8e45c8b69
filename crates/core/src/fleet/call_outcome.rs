//! How a call ended.

use crate::fleet::LogClass;
use crate::units::Micros;
use crate::{RefusalReason, Verdict};

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A backend server answered with this status.
    Answered(u16),
    /// No backend server answered the call.
    Failed {
        /// Whether a backend server may have run the call.
        verdict: Verdict,
        /// The reason why there is no answer.
        reason: RefusalReason,
        /// Whether the call arrived at a backend server.
        has_arrived: bool,
        /// The time after which the caller may retry a call that did not run.
        retry_after: Micros,
    },
}

impl CallOutcome {
    /// Returns the log class whose rate limit applies to the call.
    pub const fn class(self) -> LogClass {
        match self {
            Self::Answered(_) => LogClass::Answer,
            Self::Failed { .. } => LogClass::Failure,
        }
    }
}
