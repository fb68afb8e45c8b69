//! Failures of calls, with their reason and verdict.

use almondsail_core::ids::NodeId;
use almondsail_core::{RefusalReason, Verdict};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use crate::calls::call_headers;

/// Why a call has no answer of a backend server, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    pub(crate) reason: RefusalReason,
    /// The node that ran the call holding the idempotency key, if that is another call.
    pub(crate) holder: Option<NodeId>,
}

impl Failure {
    pub(crate) const fn new(verdict: Verdict, reason: RefusalReason) -> Self {
        Self { verdict, reason, holder: None }
    }

    /// Reports a call that was refused and did not run at a backend server.
    pub(crate) const fn refused(reason: RefusalReason) -> Self {
        Self::new(Verdict::RefusedUnrun, reason)
    }

    /// Reports a call of which no byte was sent to the next hop.
    pub(crate) const fn not_sent(reason: RefusalReason) -> Self {
        Self::new(Verdict::NotSent, reason)
    }

    /// Reports a call that may have run.
    pub(crate) const fn may_have_run(reason: RefusalReason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// Builds the HTTP response that reports the failure.
    pub(crate) fn to_response(&self) -> Response<Bytes> {
        let text = format!("{} {}\n", self.verdict, self.reason);
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        call_headers::set_failure(headers, self.verdict, self.reason);
        if closes_connection(self.reason) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn status(&self) -> StatusCode {
        use RefusalReason as R;
        match self.reason {
            R::UnknownRoute => StatusCode::NOT_FOUND,
            R::BadRequest => StatusCode::BAD_REQUEST,
            R::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            R::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            R::UnknownCredential => StatusCode::UNAUTHORIZED,
            R::PeerUnauthorized => StatusCode::FORBIDDEN,
            R::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            R::RepeatInDoubt => StatusCode::CONFLICT,
            R::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            R::BrokenExchange | R::BadAnswer => StatusCode::BAD_GATEWAY,
            R::NoConfig
            | R::OutdatedConfig
            | R::PartialConfig
            | R::QuotaUnknown
            | R::BodyMemory
            | R::KeyRegistrarUnreachable
            | R::NoBackend
            | R::BackendDown
            | R::Evacuated
            | R::ColdServer
            | R::Leaving
            | R::StoppedVersion
            | R::QueueFull
            | R::Displaced
            | R::DeadlineTooNear
            | R::BackendShed
            | R::ConnectFailed
            | R::RetryBudget => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Returns whether the connection must be closed after the failure, because the node is leaving
/// or the rest of the request was not read.
const fn closes_connection(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Leaving
            | RefusalReason::BadRequest
            | RefusalReason::HeaderTooLarge
            | RefusalReason::BodyTooLarge
            | RefusalReason::BodyMemory
            | RefusalReason::PeerUnauthorized
    )
}
