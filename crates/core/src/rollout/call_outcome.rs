//! How a call ended at the backend server.

use crate::RefusalReason;

/// How a call ended at the backend server.
///
/// The outcomes that depend on the load and the speed of the host are kept
/// apart from failures, so that an overload does not look like a bad version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallOutcome {
    /// The backend server answered without an error of its own.
    Answered,
    /// The backend server answered with an error, or the exchange broke.
    Failed,
    /// The deadline passed after sending. Counts as the slowest answer, not as a failure.
    TimedOut,
    /// The admission control or the backend server refused the call unrun.
    Refused,
}

impl CallOutcome {
    /// What a failure for `reason` says about the version; `None` if it says nothing.
    pub const fn of_failure(reason: RefusalReason) -> Option<Self> {
        match reason {
            RefusalReason::BrokenExchange | RefusalReason::BadAnswer => Some(Self::Failed),
            RefusalReason::DeadlinePassed => Some(Self::TimedOut),
            RefusalReason::BackendShed
            | RefusalReason::BackendDown
            | RefusalReason::QueueFull
            | RefusalReason::DeadlineTooNear => Some(Self::Refused),
            RefusalReason::NoConfig
            | RefusalReason::UnknownRoute
            | RefusalReason::BadRequest
            | RefusalReason::HeaderTooLarge
            | RefusalReason::BodyTooLarge
            | RefusalReason::BodyMemory
            | RefusalReason::KeyRegistrarUnreachable
            | RefusalReason::RepeatInDoubt
            | RefusalReason::NoBackend
            | RefusalReason::Leaving
            | RefusalReason::StoppedVersion
            | RefusalReason::ConnectFailed
            | RefusalReason::RetryBudget
            | RefusalReason::PeerUnauthorized => None,
        }
    }
}
