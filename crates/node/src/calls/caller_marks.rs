//! What callers state about calls.

use almondsail_core::ids::CallKey;
use almondsail_core::units::Millis;
use http::HeaderMap;

use crate::calls::call_headers as names;

/// What a caller states about a call in its headers.
pub(crate) struct CallerMarks {
    /// The time left.
    pub(crate) deadline: Option<Millis>,
    /// The idempotency key.
    pub(crate) key: Option<CallKey>,
    /// How often the caller has sent the call, this time included.
    pub(crate) attempt: u32,
}

impl CallerMarks {
    /// The statements in `headers`.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, names::BadHeader> {
        Ok(Self {
            deadline: names::parse(headers, &names::DEADLINE_MS)?.map(Millis::new),
            key: names::parse(headers, &names::IDEMPOTENCY_KEY)?,
            attempt: names::parse(headers, &names::ATTEMPT)?.unwrap_or(1),
        })
    }
}
