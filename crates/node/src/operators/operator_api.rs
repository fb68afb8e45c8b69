//! Routes and handlers of the HTTP API for operators.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use almondsail_core::ids::WriteId;
use almondsail_core::operators::{CommandRequest, Query};
use almondsail_core::report::ReportQuery;
use almondsail_wire::{FieldError, operator as wire};
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::hyper::body::Body as _;
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_router};
use gotham::state::{FromState, State, StateData};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use serde::Serialize;

use crate::operators::operator_auth::OperatorAuth;
use crate::operators::operator_control::OperatorControl;
use crate::operators::operator_error::OperatorError;
use crate::operators::operator_json::{read_json, to_json, write_error};
use crate::operators::operator_outcome_path::OutcomePath;
use crate::operators::operator_report_params::ReportParams;
use crate::settings::OperatorToken;

/// The HTTP API for operators.
///
/// Unwind safe: its parts may be used from many threads and keep no state from one operation
/// to the next, so a panic in a handler leaves them intact.
#[derive(Clone)]
pub struct OperatorApi(Arc<AssertUnwindSafe<Inner>>);

/// Called with each error before it is sent to the operator, to count it.
pub type ErrorHook = Box<dyn Fn(&OperatorError) + Send + Sync>;

struct Inner {
    auth: OperatorAuth,
    control: OperatorControl,
    on_error: ErrorHook,
}

impl StateData for OperatorApi {}

impl OperatorApi {
    /// Creates an API that authenticates with `auth`, sends requests to `control` and calls
    /// `on_error` for each error.
    pub fn new(auth: OperatorAuth, control: OperatorControl, on_error: ErrorHook) -> Self {
        Self(Arc::new(AssertUnwindSafe(Inner { auth, control, on_error })))
    }

    /// Builds the routes `POST /v1/commands`, `POST /v1/queries`, `GET /v1/outcomes/WRITE_ID`
    /// and `GET /v1/report?team=NAME&since=TIME`.
    pub fn router(self) -> Router {
        let no_such_path = self.error_extender(OperatorError::NoSuchPath);
        let bad_parameters = self.error_extender(OperatorError::BadParameters);
        let wrong_method = self.error_extender(OperatorError::WrongMethod);
        let middleware = StateMiddleware::new(self);
        let (chain, pipelines) = single_pipeline(single_middleware(middleware));
        build_router(chain, pipelines, |route| {
            route.post("/v1/commands").to_async(command);
            route.post("/v1/queries").to_async(query);
            route
                .get("/v1/outcomes/:write_id")
                .with_path_extractor::<OutcomePath>()
                .to_async(outcome);
            route.get("/v1/report").with_query_string_extractor::<ReportParams>().to_async(report);
            route.add_response_extender(StatusCode::NOT_FOUND, no_such_path);
            route.add_response_extender(StatusCode::BAD_REQUEST, bad_parameters);
            route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, wrong_method);
        })
    }

    /// Returns a response extender that counts `e` and writes it into responses of the router
    /// itself, which have no body.
    fn error_extender(&self, e: OperatorError) -> impl Fn(&mut State, &mut Response<Body>) + use<> {
        let api = self.clone();
        move |_: &mut State, res: &mut Response<Body>| {
            if res.body().is_end_stream() {
                (api.0.on_error)(&e);
                write_error(res, &e);
            }
        }
    }

    /// Returns the operator whose bearer token is in `headers`.
    fn authenticate(&self, headers: &HeaderMap) -> Result<&OperatorToken, OperatorError> {
        let token = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or(OperatorError::TokenMissing)?;
        self.0.auth.find(token.trim()).ok_or(OperatorError::TokenUnknown)
    }
}

/// The parts of a request that handlers take from gotham's state.
struct Request {
    api: OperatorApi,
    headers: HeaderMap,
    body: Body,
}

impl Request {
    fn take(state: &mut State) -> Self {
        Self {
            api: OperatorApi::borrow_from(state).clone(),
            headers: state.take(),
            body: state.take(),
        }
    }
}

async fn command(mut state: State) -> HandlerResult {
    let Request { api, headers, body } = Request::take(&mut state);
    let run = async {
        let operator = api.authenticate(&headers)?;
        let request: wire::CommandRequest = read_json(body).await?;
        let request = CommandRequest::try_from(request)?;
        let outcome = api.0.control.submit_command(operator, request).await?;
        Ok(wire::Outcome::from(&outcome))
    };
    let result = run.await;
    Ok(respond(state, &api, result))
}

async fn query(mut state: State) -> HandlerResult {
    let Request { api, headers, body } = Request::take(&mut state);
    let run = async {
        api.authenticate(&headers)?;
        let query: wire::Query = read_json(body).await?;
        let answer = api.0.control.query(Query::try_from(query)?).await?;
        Ok(wire::Answer::from(&answer))
    };
    let result = run.await;
    Ok(respond(state, &api, result))
}

async fn outcome(mut state: State) -> HandlerResult {
    let Request { api, headers, .. } = Request::take(&mut state);
    let OutcomePath { write_id } = state.take();
    let run = async {
        api.authenticate(&headers)?;
        let write_id: WriteId = write_id.parse().map_err(|e| FieldError::new("write_id", e))?;
        let outcome = api.0.control.outcome(write_id).await?;
        Ok(wire::Outcome::from(&outcome))
    };
    let result = run.await;
    Ok(respond(state, &api, result))
}

async fn report(mut state: State) -> HandlerResult {
    let Request { api, headers, .. } = Request::take(&mut state);
    let params: ReportParams = state.take();
    let run = async {
        let operator = api.authenticate(&headers)?;
        let query = ReportQuery::try_from(params)?;
        if operator.team.as_ref().is_some_and(|team| *team != query.team) {
            return Err(OperatorError::OtherTeam);
        }
        let report = api.0.control.report(query).await?;
        Ok(wire::Report::from(&report))
    };
    let result = run.await;
    Ok(respond(state, &api, result))
}

fn respond<T: Serialize>(
    state: State,
    api: &OperatorApi,
    result: Result<T, OperatorError>,
) -> (State, Response<Body>) {
    let response = match result {
        Ok(answer) => {
            create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, to_json(&answer))
        }
        Err(e) => {
            (api.0.on_error)(&e);
            let mut res = create_empty_response(&state, e.status());
            write_error(&mut res, &e);
            res
        }
    };
    (state, response)
}
