//! Reasons for not giving a caller the answer of a backend server.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Why a call was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The node holds no configuration yet.
    NoConfig,
    /// No route matches the request's path.
    UnknownRoute,
    /// The request is malformed.
    BadRequest,
    /// The request's header exceeds its limit.
    HeaderTooLarge,
    /// The request's body exceeds its limit.
    BodyTooLarge,
    /// The node holds as many bytes of bodies as it may.
    BodyMemory,
    /// The nodes that register the call's idempotency key did not answer.
    KeyRegistrarUnreachable,
    /// An earlier call with the same key may have run.
    RepeatInDoubt,
    /// No backend server of the service takes new work.
    NoBackend,
    /// The backend server accepts no connection.
    BackendDown,
    /// The backend server or the node is leaving.
    Leaving,
    /// The version of the backend server was stopped.
    StoppedVersion,
    /// The queue of the admission control is full.
    QueueFull,
    /// The call could not end before its deadline.
    DeadlineTooNear,
    /// The deadline passed before the answer came.
    DeadlinePassed,
    /// The backend server refused the call as overloaded, before it ran.
    BackendShed,
    /// The connection to the next hop could not be opened.
    ConnectFailed,
    /// The exchange broke before the whole answer came.
    BrokenExchange,
    /// The answer is malformed.
    BadAnswer,
    /// The budget for retries is used up.
    RetryBudget,
    /// The sender of a forwarded call is not a node of this installation.
    PeerUnauthorized,
}

impl RefusalReason {
    /// Every reason.
    pub const ALL: [Self; 21] = [
        Self::NoConfig,
        Self::UnknownRoute,
        Self::BadRequest,
        Self::HeaderTooLarge,
        Self::BodyTooLarge,
        Self::BodyMemory,
        Self::KeyRegistrarUnreachable,
        Self::RepeatInDoubt,
        Self::NoBackend,
        Self::BackendDown,
        Self::Leaving,
        Self::StoppedVersion,
        Self::QueueFull,
        Self::DeadlineTooNear,
        Self::DeadlinePassed,
        Self::BackendShed,
        Self::ConnectFailed,
        Self::BrokenExchange,
        Self::BadAnswer,
        Self::RetryBudget,
        Self::PeerUnauthorized,
    ];

    /// The reason's text in headers and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::UnknownRoute => "unknown_route",
            Self::BadRequest => "bad_request",
            Self::HeaderTooLarge => "header_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyMemory => "body_memory",
            Self::KeyRegistrarUnreachable => "key_registrar_unreachable",
            Self::RepeatInDoubt => "repeat_in_doubt",
            Self::NoBackend => "no_backend",
            Self::BackendDown => "backend_down",
            Self::Leaving => "leaving",
            Self::StoppedVersion => "stopped_version",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooNear => "deadline_too_near",
            Self::DeadlinePassed => "deadline_passed",
            Self::BackendShed => "backend_shed",
            Self::ConnectFailed => "connect_failed",
            Self::BrokenExchange => "broken_exchange",
            Self::BadAnswer => "bad_answer",
            Self::RetryBudget => "retry_budget",
            Self::PeerUnauthorized => "peer_unauthorized",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RefusalReason {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|reason| reason.as_str() == s)
            .ok_or_else(|| ParseIdError::new("refusal reason", s, "one of the documented reasons"))
    }
}
