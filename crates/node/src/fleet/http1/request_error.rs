//! Requests that can't be read.

use http::StatusCode;

/// Why a request can't be read. The connection ends after the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// It is no request of HTTP/1, or its length is ambiguous.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// It did not come in time.
    TooSlow,
}

impl RequestError {
    /// The status of the answer.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}
