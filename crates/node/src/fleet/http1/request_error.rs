//! Errors in reading a request.

use almondsail_core::RefusalReason;
use http::StatusCode;

/// Why a request can't be read. The connection is closed after the error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The input is not an HTTP/1 request, or the length of its body is ambiguous.
    Malformed,
    /// The request head or a trailer section exceeds its size limit.
    HeadTooLarge,
    /// The request body exceeds its size limit.
    BodyTooLarge,
    /// The request did not arrive completely within its time limit.
    TooSlow,
    /// The node holds as many bytes of bodies as it may.
    NoMemory,
}

impl RequestError {
    /// Returns the status of the error response.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason as other nodes and the log name it.
    pub(crate) const fn reason(self) -> RefusalReason {
        match self {
            Self::Malformed | Self::TooSlow => RefusalReason::BadRequest,
            Self::HeadTooLarge => RefusalReason::HeaderTooLarge,
            Self::BodyTooLarge => RefusalReason::BodyTooLarge,
            Self::NoMemory => RefusalReason::BodyMemory,
        }
    }
}
