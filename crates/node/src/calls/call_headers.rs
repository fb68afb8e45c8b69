//! HTTP headers of calls, and functions that read, set and remove them.

use std::str::FromStr;

use almondsail_core::{RefusalReason, Verdict};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The time in which a call must be answered, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("almondsail-deadline-ms");
/// The key by which a repeat of a call is recognised; set by the caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How often the caller has sent a call, this time included; set by the caller.
pub const ATTEMPT: HeaderName = HeaderName::from_static("almondsail-attempt");
/// Whether a failed call may have run; set in answers that report a failure.
pub const VERDICT: HeaderName = HeaderName::from_static("almondsail-verdict");
/// The reason of a failure; set in answers that report a failure.
pub const REASON: HeaderName = HeaderName::from_static("almondsail-reason");
/// The configuration version by which a call was routed.
pub const VERSION: HeaderName = HeaderName::from_static("almondsail-version");
/// The load of the node that answers, set in answers to other nodes.
pub const LOAD: HeaderName = HeaderName::from_static("almondsail-load");

/// The token by which a node authenticates to another one. This header and all that follow are
/// used only between nodes.
pub(crate) const TOKEN: HeaderName = HeaderName::from_static("almondsail-token");
/// The kind of a request of another node:
/// [`InboundRequestKind`](crate::calls::forwarded_call::InboundRequestKind).
pub(crate) const MESSAGE: HeaderName = HeaderName::from_static("almondsail-message");
/// The random id that the entry node gives to a call.
pub(crate) const CALL: HeaderName = HeaderName::from_static("almondsail-call");
/// The service to which a call is routed.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("almondsail-service");
/// The name of the route that a call matched.
pub(crate) const ROUTE: HeaderName = HeaderName::from_static("almondsail-route");
/// The version of the service to which a call is sent.
pub(crate) const TARGET: HeaderName = HeaderName::from_static("almondsail-target");
/// The priority of a call at admission, taken from its route.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("almondsail-priority");
/// Whether a call is idempotent, taken from its route: `true` or `false`.
pub(crate) const IDEMPOTENT: HeaderName = HeaderName::from_static("almondsail-idempotent");
/// The node that runs, or ran, the call that holds an idempotency key.
pub(crate) const HOLDER: HeaderName = HeaderName::from_static("almondsail-holder");
/// The answer of a registrar to the claim of an idempotency key.
pub(crate) const CLAIM: HeaderName = HeaderName::from_static("almondsail-claim");

/// The prefix of all headers above except the idempotency key.
const PREFIX: &str = "almondsail-";

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and `Expect`, which the node answers itself
/// because it reads the whole body before it forwards it.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
/// Headers that are forwarded even if `Connection` names them.
const END_TO_END: [HeaderName; 3] = [IDEMPOTENCY_KEY, header::CONTENT_LENGTH, header::HOST];
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the hop-by-hop headers and those with the mesh's prefix.
pub(crate) fn remove_internal_headers(headers: &mut HeaderMap) {
    remove_connection_headers(headers);
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(PREFIX);
    let internal: Vec<HeaderName> = headers.keys().filter(is_internal).cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}

/// Returns the headers that the `Connection` header names, except [`END_TO_END`].
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !END_TO_END.contains(name))
        .collect()
}

/// Returns the size of `headers` in an HTTP/1.1 message, in bytes.
pub(crate) fn size(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS).sum()
}

/// Parses header `name`; an error if its value is malformed or it occurs more than once.
pub(crate) fn parse<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, BadHeader> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match (parsed, values.next()) {
        (Some(parsed), None) => Ok(Some(parsed)),
        _ => Err(BadHeader),
    }
}

/// A header, or the body of a handover, is malformed or missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BadHeader;

/// Sets header `name` to `value`. Does nothing if `value` is not printable ASCII.
pub(crate) fn set(headers: &mut HeaderMap, name: HeaderName, value: impl ToString) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets the headers that report a failure and whether the call may have run.
pub(crate) fn set_failure(headers: &mut HeaderMap, verdict: Verdict, reason: RefusalReason) {
    headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
}
