//! Options of a call that its caller sets in headers.

use almondsail_core::ids::CallKey;
use almondsail_core::units::Millis;
use http::HeaderMap;

use crate::calls::call_headers;

/// Options of a call that its caller sets in headers.
pub(crate) struct CallOptions {
    /// The time in which the caller needs the answer; `None` to use the route's deadline.
    pub(crate) deadline: Option<Millis>,
    /// The key by which a repeat of the call is recognised; `None` if the caller sent no key.
    pub(crate) key: Option<CallKey>,
    /// How often the caller has sent the call, this time included; 1 if the header is missing.
    pub(crate) attempt: u32,
}

impl CallOptions {
    /// Parses the options in `headers`; an error if one of them is malformed or set twice.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, call_headers::BadHeader> {
        Ok(Self {
            deadline: call_headers::parse(headers, &call_headers::DEADLINE_MS)?.map(Millis::new),
            key: call_headers::parse(headers, &call_headers::IDEMPOTENCY_KEY)?,
            attempt: call_headers::parse(headers, &call_headers::ATTEMPT)?.unwrap_or(1),
        })
    }
}
