//! Answers recorded for repeats of calls.

use almondsail_core::ids::Digest;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// The answer to a call with an idempotency key, kept for repeats of the call.
#[derive(Debug, Clone)]
pub(crate) struct RecordedAnswer {
    /// The digest of the request. A different request with the same key doesn't get this answer.
    pub(crate) request_digest: Digest,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}
