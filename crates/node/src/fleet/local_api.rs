//! HTTP API for the backend server beside the node, the readiness check and the metrics.

use std::fmt;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use almondsail_core::fleet::{FleetEvent, FleetLogEvent, FleetView};
use almondsail_core::ids::BackendId;
use almondsail_platform::{FormatError, announcement, calls};
use arc_swap::ArcSwap;
use gotham::handler::HandlerError;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_router};
use gotham::state::{FromState, State, StateData};
use http_body_util::{BodyExt as _, Limited};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::sync::{mpsc, oneshot};

use crate::fleet::control_loop::ControlRequest;
use crate::fleet::event_log::EventLog;
use crate::metrics::Metrics;

/// Size limit of the body of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// HTTP API for the backend server beside the node, the readiness check and the metrics.
///
/// A handler that panics leaves the parts intact, as `AssertUnwindSafe` requires: they are
/// thread-safe and hold no state between two of their operations.
#[derive(Debug, Clone)]
pub(crate) struct LocalApi(Arc<AssertUnwindSafe<LocalApiParts>>);

/// Arguments of [`LocalApi::new`], shared by the handlers.
#[derive(Debug)]
pub(crate) struct LocalApiParts {
    pub(crate) control: mpsc::Sender<ControlRequest>,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) metrics: Metrics,
    pub(crate) refused: Counter<u64>,
    pub(crate) log: EventLog,
}

impl StateData for LocalApi {}

type Handled = Result<(State, Response<Body>), (State, HandlerError)>;

impl LocalApi {
    pub(crate) fn new(parts: LocalApiParts) -> Self {
        Self(Arc::new(AssertUnwindSafe(parts)))
    }

    /// Builds the router for announcements, the readiness check and the metrics.
    pub(crate) fn router(self) -> Router {
        let middleware = StateMiddleware::new(self);
        let (chain, pipelines) = single_pipeline(single_middleware(middleware));
        build_router(chain, pipelines, |route| {
            let instance_path = format!("{}/*", announcement::PATH_PREFIX);
            route.put(&instance_path).to_async(announce);
            route.delete(&instance_path).to_async(leave);
            route.get(calls::READY_PATH).to(ready);
            route.get("/metrics").to(metrics);
        })
    }

    /// Sends an event to the control loop and waits until it is acknowledged.
    async fn notify(&self, backend: Option<BackendId>, event: FleetEvent) -> StatusCode {
        let (done, done_rx) = oneshot::channel();
        let is_sent = self.0.control.send(ControlRequest { event, backend, done }).await.is_ok();
        if is_sent && done_rx.await.is_ok() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    /// Counts and logs an announcement that can't be parsed.
    fn refuse(&self, id: &str, problem: &dyn fmt::Display) -> StatusCode {
        self.0.refused.add(1, &[KeyValue::new("what", "announcement")]);
        let (server, problem) = (id.to_owned(), problem.to_string());
        self.0.log.write(&FleetLogEvent::AnnouncementRefused { server, problem });
        StatusCode::BAD_REQUEST
    }
}

async fn announce(mut state: State) -> Handled {
    let decode = |id: &str, body: &[u8]| announcement::decode(id, body).map(FleetEvent::Announced);
    let status = handle_notice(&mut state, decode).await;
    let response = empty_json(&state, status);
    Ok((state, response))
}

async fn leave(mut state: State) -> Handled {
    let decode = |id: &str, body: &[u8]| {
        announcement::decode_leave(id, body)
            .map(|(id, started_at)| FleetEvent::Left(id, started_at))
    };
    let status = handle_notice(&mut state, decode).await;
    let response = empty_json(&state, status);
    Ok((state, response))
}

fn ready(state: State) -> (State, Response<Body>) {
    let view = LocalApi::borrow_from(&state).0.view.load_full();
    let is_ready = view.config.is_some() && !view.is_leaving;
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = empty_json(&state, status);
    (state, response)
}

fn metrics(state: State) -> (State, Response<Body>) {
    let text = LocalApi::borrow_from(&state).0.metrics.text();
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text);
    (state, response)
}

/// Passes the event that `decode` reads from the id at the end of the path and from the body to
/// the control loop. Refuses a body that exceeds `MAX_ANNOUNCEMENT_BYTES` or ends early.
async fn handle_notice(
    state: &mut State,
    decode: impl Fn(&str, &[u8]) -> Result<FleetEvent, FormatError>,
) -> StatusCode {
    let body: Body = state.take();
    let api = LocalApi::borrow_from(state).clone();
    let id = http::Uri::borrow_from(state).path().rsplit('/').next().unwrap_or_default().to_owned();
    let body = match Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(problem) => return api.refuse(&id, &problem),
    };
    match decode(&id, &body) {
        Ok(event) => api.notify(id.parse().ok(), event).await,
        Err(problem) => api.refuse(&id, &problem),
    }
}

fn empty_json(state: &State, status: StatusCode) -> Response<Body> {
    create_response(state, status, mime::APPLICATION_JSON, "{}")
}
