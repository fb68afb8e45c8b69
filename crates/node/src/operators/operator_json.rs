//! JSON bodies of the operators' interface.

use std::time::Duration;

use almondsail_wire::operator as wire;
use gotham::handler::IntoBody;
use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use http::HeaderValue;
use http::header::{CONTENT_TYPE, WWW_AUTHENTICATE};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::operators::operator_error::OperatorError;

/// Number of bytes of a request's body at most.
const MAX_BODY_BYTES: usize = 1_000_000;
/// A body that has not arrived after this time is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body of a request.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, OperatorError> {
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(OperatorError::BodyTooLarge),
        Ok(Err(_)) | Err(_) => return Err(OperatorError::BodyIncomplete),
    };
    serde_json::from_slice(&body).map_err(|e| OperatorError::BadJson(e.to_string()))
}

/// Makes `res` the answer that describes an error.
pub(crate) fn write_error(res: &mut Response<Body>, e: &OperatorError) {
    *res.status_mut() = e.status();
    let json_type = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json_type);
    if e.status() == StatusCode::UNAUTHORIZED {
        res.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    *res.body_mut() = to_json(&wire::Error::from(e)).into_body();
}

/// The JSON text of a generated type, which has text keys only and so can be written.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
