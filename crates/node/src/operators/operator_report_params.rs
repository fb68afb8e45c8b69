//! Query parameters of `GET /v1/report`.

use almondsail_core::report::ReportQuery;
use almondsail_wire::FieldError;
use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{State, StateData};
use serde::Deserialize;

/// Query parameters of `GET /v1/report`, unparsed; a missing one is empty and fails to parse.
#[derive(Deserialize)]
pub(crate) struct ReportParams {
    #[serde(default)]
    team: String,
    #[serde(default)]
    since: String,
}

impl StateData for ReportParams {}

impl StaticResponseExtender for ReportParams {
    type ResBody = Body;

    fn extend(_: &mut State, res: &mut Response<Body>) {
        *res.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl TryFrom<ReportParams> for ReportQuery {
    type Error = FieldError;

    fn try_from(params: ReportParams) -> Result<Self, FieldError> {
        Ok(Self {
            team: params.team.parse().map_err(|e| FieldError::new("team", e))?,
            since: params.since.parse().map_err(|e| FieldError::new("since", e))?,
        })
    }
}
