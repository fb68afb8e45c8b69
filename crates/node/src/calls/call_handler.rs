//! The gotham handler for requests of callers.

use std::panic::{RefUnwindSafe, UnwindSafe};
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::State;
use http::Response;
use http_body_util::{BodyExt as _, Full};

use crate::calls::answer_body::Answer;
use crate::calls::call_headers;
use crate::calls::caller_request::CallerRequest;
use crate::calls::failure::Failure;
use crate::calls::forward::forward;
use crate::calls::routing_table::RoutingTable;
use crate::calls::traffic::Inner;

/// Handles requests for all paths; routes are looked up in the configuration.
#[derive(Debug, Clone)]
pub(crate) struct CallHandler {
    inner: Arc<Inner>,
}

impl CallHandler {
    pub(crate) const fn new(inner: Arc<Inner>) -> Self {
        Self { inner }
    }
}

// The locks of the shared state recover from poisoning, and its atomics are always valid.
impl UnwindSafe for CallHandler {}
impl RefUnwindSafe for CallHandler {}

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

async fn answer(inner: &Arc<Inner>, request: CallerRequest) -> Response<Body> {
    let table = inner.table();
    let mut response = match call(inner, &table, request).await {
        Ok(answer) => answer.map(|body| body.boxed_unsync()),
        Err(failure) => failure.to_response().map(full),
    };
    call_headers::set(response.headers_mut(), call_headers::VERSION, table.config_version());
    response
}

/// Returns a body that consists of `bytes`.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

async fn call(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    request: CallerRequest,
) -> Result<Answer, Failure> {
    let started = inner.clock.now();
    let (call, _held) = match request.prepare(inner, table, started).await {
        Ok(prepared) => prepared,
        Err((reason, route)) => {
            let counters = route.and_then(|route| table.routes.get(&route));
            counters.map_or(&table.unknown_route, |counters| &counters.entry).count_failure(reason);
            return Err(Failure::refused(reason));
        }
    };
    forward(inner, table, call, started).await
}
