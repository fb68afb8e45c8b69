//! The headers of calls.

use std::str::FromStr;

use almondsail_core::{RefusalReason, Verdict};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The time left for a call in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("almondsail-deadline-ms");
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The number of times that the caller has sent the call, this time included.
pub const ATTEMPT: HeaderName = HeaderName::from_static("almondsail-attempt");
/// Whether a failed call may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("almondsail-verdict");
/// Why a call failed.
pub const REASON: HeaderName = HeaderName::from_static("almondsail-reason");
/// The configuration version by which a call was routed.
pub const VERSION: HeaderName = HeaderName::from_static("almondsail-version");
/// The load of the node that answers.
pub const LOAD: HeaderName = HeaderName::from_static("almondsail-load");

/// The token of a node of the installation. Only between nodes, like all that follow.
pub(crate) const TOKEN: HeaderName = HeaderName::from_static("almondsail-token");
/// What a request of another node asks for; see
/// [`crate::calls::forwarded_call::InboundRequestKind`].
pub(crate) const MESSAGE: HeaderName = HeaderName::from_static("almondsail-message");
/// The id of a call.
pub(crate) const CALL: HeaderName = HeaderName::from_static("almondsail-call");
/// The service that a call is for.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("almondsail-service");
/// The route of a call.
pub(crate) const ROUTE: HeaderName = HeaderName::from_static("almondsail-route");
/// The version of the backend server that a call is for.
pub(crate) const TARGET: HeaderName = HeaderName::from_static("almondsail-target");
/// The priority of a call.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("almondsail-priority");
/// Whether a call is idempotent: `true` or `false`.
pub(crate) const IDEMPOTENT: HeaderName = HeaderName::from_static("almondsail-idempotent");
/// The node that holds an idempotency key.
pub(crate) const HOLDER: HeaderName = HeaderName::from_static("almondsail-holder");
/// The answer to a claim.
pub(crate) const CLAIM: HeaderName = HeaderName::from_static("almondsail-claim");

/// The beginning of the names of the headers above, except the idempotency key.
const PREFIX: &str = "almondsail-";

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and `Expect`,
/// which the node answers itself because it reads the whole body before it forwards it.
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
/// Headers that concern the whole path of a call, although `Connection` may name them.
const END_TO_END: [HeaderName; 3] = [IDEMPOTENCY_KEY, header::CONTENT_LENGTH, header::HOST];
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the headers that concern one connection only, and those of this mesh.
pub(crate) fn remove_own(headers: &mut HeaderMap) {
    remove_connection_headers(headers);
    let is_own = |name: &&HeaderName| name.as_str().starts_with(PREFIX);
    let own: Vec<HeaderName> = headers.keys().filter(is_own).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes the headers that concern one connection only.
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

/// The headers that the `Connection` header names.
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

/// The number of bytes that `headers` take in a message.
pub(crate) fn size(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS).sum()
}

/// The value of header `name`; an error if it is not a `T` or not alone.
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

/// A header has a value of the wrong form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BadHeader;

/// Sets header `name` to `value`, which must be printable ASCII.
pub(crate) fn set(headers: &mut HeaderMap, name: HeaderName, value: impl ToString) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets the headers that report a failure.
pub(crate) fn set_failure(headers: &mut HeaderMap, verdict: Verdict, reason: RefusalReason) {
    headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
}
