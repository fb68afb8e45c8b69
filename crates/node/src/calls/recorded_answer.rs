//! An answer that was given to a call with an idempotency key.

use almondsail_core::ids::Digest;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// An answer that was given to a call with an idempotency key.
#[derive(Debug, Clone)]
pub(crate) struct RecordedAnswer {
    /// The digest of the request, so that another request with the same key gets no wrong answer.
    pub(crate) request_digest: Digest,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}
