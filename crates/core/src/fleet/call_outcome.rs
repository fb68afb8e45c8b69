//! How a call ended.

use crate::fleet::LogClass;
use crate::units::Micros;
use crate::{RefusalReason, Verdict};

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A backend server answered with this status.
    Answered(u16),
    /// There is no answer of a backend server.
    Failed {
        /// Whether the call may have run.
        verdict: Verdict,
        /// Why there is none.
        reason: RefusalReason,
        /// Whether it arrived at a backend server.
        has_arrived: bool,
        /// After how long it may come again, if it did not run.
        retry_after: Micros,
    },
}

impl CallOutcome {
    /// By which bound the lines of such calls are limited.
    pub const fn class(self) -> LogClass {
        match self {
            Self::Answered(_) => LogClass::Answer,
            Self::Failed { .. } => LogClass::Failure,
        }
    }
}
