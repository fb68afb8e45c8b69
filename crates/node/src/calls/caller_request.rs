//! Validation and routing of the requests that callers send.

use almondsail_core::RefusalReason;
use almondsail_core::ids::RouteName;
use almondsail_core::traffic::{CallId, Deadline};
use almondsail_core::units::Instant;
use gotham::helpers::http::Body;
use gotham::state::{FromState as _, State};
use http::{HeaderMap, Method, Uri, Version};
use rand::Rng as _;

use crate::calls::buffered_body::BufferedBody;
use crate::calls::call_headers;
use crate::calls::call_options::CallOptions;
use crate::calls::forwarded_call::{ForwardedCall, remove_rewritten_headers};
use crate::calls::routing_table::RoutingTable;
use crate::calls::server::MAX_HEADER;
use crate::calls::traffic::Inner;
use crate::clock::to_std_duration;

/// An HTTP request of a caller, not yet validated.
pub(crate) struct CallerRequest {
    method: Method,
    uri: Uri,
    version: Version,
    headers: HeaderMap,
    body: Body,
}

impl CallerRequest {
    /// Moves the request out of gotham's state.
    pub(crate) fn take(state: &mut State) -> Self {
        Self {
            method: Method::take_from(state),
            uri: Uri::take_from(state),
            version: Version::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Body::take_from(state),
        }
    }

    /// Validates and routes the request, and chooses the version that the call is sent to.
    ///
    /// The returned body holds its share of the node's body memory until it is dropped.
    pub(crate) async fn prepare(
        self,
        inner: &Inner,
        table: &RoutingTable,
        now: Instant,
    ) -> Result<(ForwardedCall, BufferedBody), RoutingError> {
        let snapshot = &table.snapshot;
        if snapshot.config.is_none() {
            return Err((RefusalReason::NoConfig, None));
        }
        if snapshot.leaving {
            return Err((RefusalReason::Leaving, None));
        }
        let CallerRequest { method, uri, version, mut headers, body } = self;
        let header_size = call_headers::size(&headers) + uri.to_string().len();
        if header_size > MAX_HEADER {
            return Err((RefusalReason::HeaderTooLarge, None));
        }
        // CONNECT opens a tunnel instead of exchanging a request and an answer. An HTTP/1.0
        // client can't tell a truncated answer of unknown length from a complete one.
        let is_exchange = method != Method::CONNECT && version == Version::HTTP_11;
        let target = origin_form(&uri).filter(|uri| is_exchange && !has_dot_segment(uri.path()));
        let target = target.ok_or((RefusalReason::BadRequest, None))?;
        let route = snapshot.route(uri.path()).ok_or((RefusalReason::UnknownRoute, None))?;
        let refuse = |reason| (reason, Some(route.name.clone()));
        let split = snapshot.split(&route.name).ok_or(refuse(RefusalReason::NoBackend))?;
        let options =
            CallOptions::parse(&headers).map_err(|_| refuse(RefusalReason::BadRequest))?;
        let deadline = Deadline::new(now, options.deadline, route.deadline);
        // Refused here, because forwarding could time out before the endpoint's refusal
        // arrives.
        if deadline.has_passed(now) {
            return Err(refuse(RefusalReason::DeadlineTooNear));
        }
        remove_rewritten_headers(&mut headers);
        let body = read_body(inner, body, deadline).await.map_err(refuse)?;
        let call = ForwardedCall {
            id: CallId::new(rand::rng().random()),
            service: route.service.clone(),
            route: route.name.clone(),
            version: split.choose(rand::rng().random_range(0..1_000)).clone(),
            priority: route.priority,
            idempotent: route.idempotent,
            key: options.key,
            attempt: options.attempt,
            replay: false,
            deadline,
            config_version: table.config_version(),
            method,
            uri: target,
            headers,
            body: body.bytes().clone(),
        };
        Ok((call, body))
    }
}

/// Why a request can't be routed, and the route it matched, if any.
pub(crate) type RoutingError = (RefusalReason, Option<RouteName>);

async fn read_body(
    inner: &Inner,
    body: Body,
    deadline: Deadline,
) -> Result<BufferedBody, RefusalReason> {
    let read_limit = tokio::time::Instant::now() + to_std_duration(inner.settings.body_timeout);
    let until = inner.clock.to_tokio_instant(deadline.at()).min(read_limit);
    match tokio::time::timeout_at(until, BufferedBody::read(body, &inner.body_budget)).await {
        Ok(result) => result,
        Err(_) if deadline.has_passed(inner.clock.now()) => Err(RefusalReason::DeadlineTooNear),
        Err(_) => Err(RefusalReason::BadRequest),
    }
}

/// Reduces `uri` to its path and query; `None` if it has neither.
fn origin_form(uri: &Uri) -> Option<Uri> {
    uri.path_and_query().map(|path| Uri::from(path.clone()))
}

/// Returns whether `path` has a segment `.` or `..`, plain or percent-encoded.
///
/// A backend server may resolve such a path to a path of another route, which may have
/// another priority or may not allow retries.
fn has_dot_segment(path: &str) -> bool {
    let is_dot_segment = |segment: &str| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    };
    path.split('/').any(is_dot_segment)
}
