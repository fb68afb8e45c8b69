//! HTTP for callers.

use std::pin::Pin;
use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::ids::CallKey;
use almondsail_core::traffic::{CallId, Deadline};
use almondsail_core::units::{Instant, Millis};
use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState as _, State};
use http::{HeaderMap, Method, Response, Uri, Version};
use http_body_util::{BodyExt as _, Full};
use rand::Rng as _;

use crate::answer_body::Answer;
use crate::body::HeldBody;
use crate::call_headers as names;
use crate::call_table::CallTable;
use crate::clock::duration;
use crate::door_request::{DoorCall, clean};
use crate::failure::Failure;
use crate::forward::forward;
use crate::traffic::{Inner, Traffic};

/// Number of bytes that a request's header may have.
pub const MAX_HEADER: usize = 64 * 1024;

/// Takes calls on `listener` until `stop` becomes true, then waits for those in flight.
pub async fn serve_callers(
    listener: tokio::net::TcpListener,
    traffic: Traffic,
    stop: tokio::sync::watch::Receiver<bool>,
) {
    let handler = CallHandler { inner: Arc::clone(&traffic.inner) };
    crate::server::serve(listener, &traffic.inner, stop, move |request, peer| {
        let state = State::from_request(request, peer);
        gotham::service::call_handler(handler.clone(), std::panic::AssertUnwindSafe(state))
    })
    .await;
}

/// The one handler, which takes every path.
#[derive(Debug, Clone)]
struct CallHandler {
    inner: Arc<Inner>,
}

// The traffic's locks recover from a panic of their holder, and its atomics are always valid.
impl std::panic::UnwindSafe for CallHandler {}
impl std::panic::RefUnwindSafe for CallHandler {}

impl NewHandler for CallHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for CallHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let request = CallerRequest::take(&mut state);
            let response = answer(&self.inner, request).await;
            Ok((state, response))
        })
    }
}

/// A request as a caller sent it.
struct CallerRequest {
    method: Method,
    uri: Uri,
    version: Version,
    headers: HeaderMap,
    body: Body,
}

impl CallerRequest {
    fn take(state: &mut State) -> Self {
        Self {
            method: Method::take_from(state),
            uri: Uri::take_from(state),
            version: Version::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Body::take_from(state),
        }
    }
}

async fn answer(inner: &Arc<Inner>, request: CallerRequest) -> Response<Body> {
    let table = inner.table();
    let mut response = match call(inner, &table, request).await {
        Ok(answer) => answer.map(|body| body.boxed_unsync()),
        Err(failure) => failure.to_response().map(full),
    };
    names::set(response.headers_mut(), names::VERSION, table.config_version());
    response
}

/// A body of `bytes`.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

async fn call(
    inner: &Arc<Inner>,
    table: &CallTable,
    request: CallerRequest,
) -> Result<Answer, Failure> {
    let started = inner.clock.now();
    let (call, _held) = match prepare(inner, table, request, started).await {
        Ok(prepared) => prepared,
        Err((reason, route)) => {
            let cells = route.and_then(|route| table.routes.get(&route));
            cells.map_or(&table.unknown, |cells| &cells.entry).failed(reason);
            return Err(Failure::unrun(reason));
        }
    };
    forward(inner, table, call, started).await
}

/// Why a request can't be routed, and its route as far as known.
type Unroutable = (RefusalReason, Option<almondsail_core::ids::RouteName>);

async fn prepare(
    inner: &Inner,
    table: &CallTable,
    request: CallerRequest,
    now: Instant,
) -> Result<(DoorCall, HeldBody), Unroutable> {
    let snapshot = &table.snapshot;
    if snapshot.config.is_none() {
        return Err((RefusalReason::NoConfig, None));
    }
    if snapshot.leaving {
        return Err((RefusalReason::Leaving, None));
    }
    let CallerRequest { method, uri, version, mut headers, body } = request;
    let header_size = names::size(&headers) + uri.to_string().len();
    if header_size > MAX_HEADER {
        return Err((RefusalReason::HeaderTooLarge, None));
    }
    // A tunnel is no exchange of one request and one answer, and a caller with HTTP/1.0
    // can't tell a truncated answer of unknown length from a whole one.
    let is_exchange = method != Method::CONNECT && version == Version::HTTP_11;
    let target = origin_form(&uri).filter(|uri| is_exchange && !has_dot_segment(uri.path()));
    let target = target.ok_or((RefusalReason::BadRequest, None))?;
    let route = snapshot.route(uri.path()).ok_or((RefusalReason::UnknownRoute, None))?;
    let refuse = |reason| (reason, Some(route.name.clone()));
    let split = snapshot.split(&route.name).ok_or(refuse(RefusalReason::NoBackend))?;
    let marks = CallerMarks::parse(&headers).map_err(|_| refuse(RefusalReason::BadRequest))?;
    let deadline = Deadline::new(now, marks.deadline, route.deadline);
    // Sent on, the call could be given up before the door's refusal comes back.
    if deadline.has_passed(now) {
        return Err(refuse(RefusalReason::DeadlineTooNear));
    }
    clean(&mut headers);
    let body = read_body(inner, body, deadline).await.map_err(refuse)?;
    let call = DoorCall {
        id: CallId::new(rand::rng().random()),
        service: route.service.clone(),
        route: route.name.clone(),
        target: split.choose(rand::rng().random_range(0..1_000)).clone(),
        priority: route.priority,
        idempotent: route.idempotent,
        key: marks.key,
        attempt: marks.attempt,
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

async fn read_body(
    inner: &Inner,
    body: Body,
    deadline: Deadline,
) -> Result<HeldBody, RefusalReason> {
    let slowest = tokio::time::Instant::now() + duration(inner.settings.body_time);
    let until = inner.clock.timer(deadline.at()).min(slowest);
    match tokio::time::timeout_at(until, HeldBody::read(body, &inner.bodies)).await {
        Ok(result) => result,
        Err(_) if deadline.has_passed(inner.clock.now()) => Err(RefusalReason::DeadlineTooNear),
        Err(_) => Err(RefusalReason::BadRequest),
    }
}

/// What a caller states about a call in its headers.
struct CallerMarks {
    deadline: Option<Millis>,
    key: Option<CallKey>,
    attempt: u32,
}

impl CallerMarks {
    fn parse(headers: &HeaderMap) -> Result<Self, names::BadHeader> {
        Ok(Self {
            deadline: names::parse(headers, &names::DEADLINE_MS)?.map(Millis::new),
            key: names::parse(headers, &names::IDEMPOTENCY_KEY)?,
            attempt: names::parse(headers, &names::ATTEMPT)?.unwrap_or(1),
        })
    }
}

/// The path and query of `uri`.
fn origin_form(uri: &Uri) -> Option<Uri> {
    uri.path_and_query().map(|path| Uri::from(path.clone()))
}

/// Whether `path` has a segment `.` or `..`, also percent-encoded.
///
/// A backend server may resolve such a path to one of another route, for which the
/// decisions on retries and priority would be wrong.
fn has_dot_segment(path: &str) -> bool {
    let is_dots = |segment: &str| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    };
    path.split('/').any(is_dots)
}
