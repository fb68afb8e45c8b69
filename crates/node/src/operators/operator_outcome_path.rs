//! The path of a question for an outcome.

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{State, StateData};
use serde::Deserialize;

/// The path of a question for an outcome.
#[derive(Deserialize)]
pub(crate) struct OutcomePath {
    /// The write id, not checked yet.
    pub(crate) write_id: String,
}

impl StateData for OutcomePath {}

impl StaticResponseExtender for OutcomePath {
    type ResBody = Body;

    fn extend(_: &mut State, res: &mut Response<Body>) {
        *res.status_mut() = StatusCode::BAD_REQUEST;
    }
}
