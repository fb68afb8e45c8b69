//! Reasons for which a caller gets no answer from a backend server.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The reason for which a call was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The node holds no configuration yet, for example right after its first start.
    NoConfig,
    /// The node's configuration lacks the route or the credential, and another node has a newer one.
    OutdatedConfig,
    /// The node has no configuration but part of one, which does not certainly cover the call.
    PartialConfig,
    /// No route matches the request's path.
    UnknownRoute,
    /// The caller's request is malformed.
    BadRequest,
    /// The request carries no credential that a team holds, and its route requires one.
    UnknownCredential,
    /// The team of the caller has used up its quota.
    QuotaExceeded,
    /// The node that keeps the quota of the caller's team did not answer.
    QuotaUnknown,
    /// The request's header exceeds the node's size limit.
    HeaderTooLarge,
    /// The request's body exceeds the node's size limit.
    BodyTooLarge,
    /// The bodies that the node buffers have reached its memory limit.
    BodyMemory,
    /// The nodes that register the call's idempotency key did not answer.
    KeyRegistrarUnreachable,
    /// An earlier call with the same idempotency key may have run.
    RepeatInDoubt,
    /// No backend server of the service accepts new calls.
    NoBackend,
    /// The backend server accepts no connections.
    BackendDown,
    /// The operator has ordered all calls away from the data centre of the backend server.
    Evacuated,
    /// The backend server is cold and takes no more calls at the moment.
    ColdServer,
    /// The backend server or a node on the call's path is shutting down.
    Leaving,
    /// The backend server's version carries a stop mark.
    StoppedVersion,
    /// The queue of calls that wait for admission is full.
    QueueFull,
    /// The call waited and was refused without having run, in favour of calls that it is worth more
    /// to serve.
    Displaced,
    /// The call was refused because it could not finish before its deadline.
    DeadlineTooNear,
    /// The deadline passed before the answer arrived.
    DeadlinePassed,
    /// The overloaded backend server refused the call before running it.
    BackendShed,
    /// The connection to the next hop, a node or a backend server, could not be opened.
    ConnectFailed,
    /// The connection broke before the whole answer arrived.
    BrokenExchange,
    /// The backend server's answer is malformed.
    BadAnswer,
    /// A retry was due, but the retry budget is used up.
    RetryBudget,
    /// The sender of a forwarded call is not a node of this installation.
    PeerUnauthorized,
}

impl RefusalReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 29] = [
        Self::NoConfig,
        Self::OutdatedConfig,
        Self::PartialConfig,
        Self::UnknownRoute,
        Self::BadRequest,
        Self::UnknownCredential,
        Self::QuotaExceeded,
        Self::QuotaUnknown,
        Self::HeaderTooLarge,
        Self::BodyTooLarge,
        Self::BodyMemory,
        Self::KeyRegistrarUnreachable,
        Self::RepeatInDoubt,
        Self::NoBackend,
        Self::BackendDown,
        Self::Evacuated,
        Self::ColdServer,
        Self::Leaving,
        Self::StoppedVersion,
        Self::QueueFull,
        Self::Displaced,
        Self::DeadlineTooNear,
        Self::DeadlinePassed,
        Self::BackendShed,
        Self::ConnectFailed,
        Self::BrokenExchange,
        Self::BadAnswer,
        Self::RetryBudget,
        Self::PeerUnauthorized,
    ];

    /// Returns the name of the reason in response headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::OutdatedConfig => "outdated_config",
            Self::PartialConfig => "partial_config",
            Self::UnknownRoute => "unknown_route",
            Self::BadRequest => "bad_request",
            Self::UnknownCredential => "unknown_credential",
            Self::QuotaExceeded => "quota_exceeded",
            Self::QuotaUnknown => "quota_unknown",
            Self::HeaderTooLarge => "header_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyMemory => "body_memory",
            Self::KeyRegistrarUnreachable => "key_registrar_unreachable",
            Self::RepeatInDoubt => "repeat_in_doubt",
            Self::NoBackend => "no_backend",
            Self::BackendDown => "backend_down",
            Self::Evacuated => "evacuated",
            Self::ColdServer => "cold_server",
            Self::Leaving => "leaving",
            Self::StoppedVersion => "stopped_version",
            Self::QueueFull => "queue_full",
            Self::Displaced => "displaced",
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
