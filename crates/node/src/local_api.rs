//! The HTTP API for the backend server beside the node and for collectors of its metrics.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use almondsail_core::control::Event;
use almondsail_core::peers::AnnouncedBackend;
use almondsail_wire::local::Announcement;
use gotham::handler::HandlerError;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_router};
use gotham::state::{FromState, State, StateData};
use http_body_util::{BodyExt, Limited};
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// Size limit of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// The HTTP API for the backend server beside the node and for collectors of its metrics.
///
/// Unwind safe: its parts may be used from many threads and keep no state from one operation
/// to the next, so a panic in a handler leaves them intact.
#[derive(Debug, Clone)]
pub struct LocalApi(Arc<AssertUnwindSafe<Inner>>);

#[derive(Debug)]
struct Inner {
    control: mpsc::Sender<Event>,
    metrics: Metrics,
}

impl StateData for LocalApi {}

impl LocalApi {
    /// Creates an API that sends the backend server's announcements to `control` and serves
    /// `metrics`.
    pub fn new(control: mpsc::Sender<Event>, metrics: Metrics) -> Self {
        Self(Arc::new(AssertUnwindSafe(Inner { control, metrics })))
    }

    /// Builds the routes `PUT /v1/backend`, `POST /v1/backend/leave`, `GET /metrics` and
    /// `GET /health`.
    pub fn router(self) -> Router {
        let middleware = StateMiddleware::new(self);
        let (chain, pipelines) = single_pipeline(single_middleware(middleware));
        build_router(chain, pipelines, |route| {
            route.put("/v1/backend").to_async(announce);
            route.post("/v1/backend/leave").to_async(leave);
            route.get("/metrics").to(metrics);
            route.get("/health").to(health);
        })
    }

    /// Sends an event to the control thread and returns the status and text of the response.
    async fn send_event(&self, event: Event) -> (StatusCode, String) {
        match self.0.control.send(event).await {
            Ok(()) => (StatusCode::OK, "ok\n".to_owned()),
            Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "the node is stopping\n".to_owned()),
        }
    }
}

async fn announce(mut state: State) -> Result<(State, Response<Body>), (State, HandlerError)> {
    let body: Body = state.take();
    let api = LocalApi::borrow_from(&state).clone();
    let (status, answer) = match read_announcement(body).await {
        Err(problem) => (StatusCode::BAD_REQUEST, problem),
        Ok(backend) => api.send_event(Event::BackendAnnounced(backend)).await,
    };
    let response = text_response(&state, status, answer);
    Ok((state, response))
}

async fn leave(state: State) -> Result<(State, Response<Body>), (State, HandlerError)> {
    let api = LocalApi::borrow_from(&state).clone();
    let (status, answer) = api.send_event(Event::BackendLeaving).await;
    let response = text_response(&state, status, answer);
    Ok((state, response))
}

fn metrics(state: State) -> (State, Response<Body>) {
    let body = LocalApi::borrow_from(&state).0.metrics.text();
    let response = text_response(&state, StatusCode::OK, body);
    (state, response)
}

fn health(state: State) -> (State, Response<Body>) {
    let response = text_response(&state, StatusCode::OK, "ok\n".to_owned());
    (state, response)
}

async fn read_announcement(body: Body) -> Result<AnnouncedBackend, String> {
    let body = Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await;
    let body = body.map_err(|e| format!("the announcement can't be read: {e}\n"))?.to_bytes();
    let announcement: Announcement =
        serde_json::from_slice(&body).map_err(|e| format!("invalid announcement: {e}\n"))?;
    announcement.try_into().map_err(|e| format!("invalid announcement: {e}\n"))
}

fn text_response(state: &State, status: StatusCode, body: String) -> Response<Body> {
    create_response(state, status, mime::TEXT_PLAIN_UTF_8, body)
}
