//! The outcome of a call at the backend server.

use crate::RefusalReason;

/// The outcome of a call at the backend server, as evidence on its version.
///
/// Timeouts and refusals depend on the load and the speed of the host, so they are not counted
/// as failures: an overload must not look like a bad version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallOutcome {
    /// The backend server answered without an error of its own.
    Answered,
    /// The backend server answered with an error, or the exchange broke.
    Failed,
    /// The deadline passed after the call was sent. Counts as the slowest answer, not as a failure.
    TimedOut,
    /// The admission control or the backend server refused the call before it ran.
    Refused,
}

impl CallOutcome {
    /// Returns the outcome to count for a call refused for `reason`; `None` if the reason says
    /// nothing about the version.
    pub const fn from_refusal(reason: RefusalReason) -> Option<Self> {
        match reason {
            RefusalReason::BrokenExchange | RefusalReason::BadAnswer => Some(Self::Failed),
            RefusalReason::DeadlinePassed => Some(Self::TimedOut),
            RefusalReason::BackendShed
            | RefusalReason::BackendDown
            | RefusalReason::QueueFull
            | RefusalReason::Displaced
            | RefusalReason::DeadlineTooNear => Some(Self::Refused),
            RefusalReason::NoConfig
            | RefusalReason::OutdatedConfig
            | RefusalReason::PartialConfig
            | RefusalReason::UnknownRoute
            | RefusalReason::BadRequest
            | RefusalReason::UnknownCredential
            | RefusalReason::QuotaExceeded
            | RefusalReason::QuotaUnknown
            | RefusalReason::HeaderTooLarge
            | RefusalReason::BodyTooLarge
            | RefusalReason::BodyMemory
            | RefusalReason::KeyRegistrarUnreachable
            | RefusalReason::RepeatInDoubt
            | RefusalReason::NoBackend
            | RefusalReason::Evacuated
            | RefusalReason::ColdServer
            | RefusalReason::Leaving
            | RefusalReason::StoppedVersion
            | RefusalReason::ConnectFailed
            | RefusalReason::RetryBudget
            | RefusalReason::PeerUnauthorized => None,
        }
    }
}
