//! What callers state about calls.

use almondsail_core::ids::CallKey;
use almondsail_core::units::Millis;
use http::HeaderMap;

use crate::calls::call_headers;

/// What a caller states about a call in its headers.
pub(crate) struct CallOptions {
    /// The time left.
    pub(crate) deadline: Option<Millis>,
    /// The idempotency key.
    pub(crate) key: Option<CallKey>,
    /// How often the caller has sent the call, this time included.
    pub(crate) attempt: u32,
}

impl CallOptions {
    /// The statements in `headers`.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, call_headers::BadHeader> {
        Ok(Self {
            deadline: call_headers::parse(headers, &call_headers::DEADLINE_MS)?.map(Millis::new),
            key: call_headers::parse(headers, &call_headers::IDEMPOTENCY_KEY)?,
            attempt: call_headers::parse(headers, &call_headers::ATTEMPT)?.unwrap_or(1),
        })
    }
}
