//! Errors in reading a request.

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
}

impl RequestError {
    /// Returns the status of the error response.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}
