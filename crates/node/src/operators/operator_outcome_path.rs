//! Path parameters of `GET /v1/outcomes/WRITE_ID`.

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{State, StateData};
use serde::Deserialize;

/// Path parameters of `GET /v1/outcomes/WRITE_ID`.
#[derive(Deserialize)]
pub(crate) struct OutcomePath {
    /// Write id as received; the handler parses it.
    pub(crate) write_id: String,
}

impl StateData for OutcomePath {}

impl StaticResponseExtender for OutcomePath {
    type ResBody = Body;

    fn extend(_: &mut State, res: &mut Response<Body>) {
        *res.status_mut() = StatusCode::BAD_REQUEST;
    }
}
