//! Reads and writes the JSON bodies of the operators' HTTP API.

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

/// Size limit of a request body.
const MAX_BODY_BYTES: usize = 1_000_000;
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request body within its size and time limits and parses it as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, OperatorError> {
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(OperatorError::BodyTooLarge),
        Ok(Err(_)) | Err(_) => return Err(OperatorError::BodyIncomplete),
    };
    serde_json::from_slice(&body).map_err(|e| OperatorError::BadJson(e.to_string()))
}

/// Sets the status, headers and JSON body of `res` to describe `e`.
pub(crate) fn write_error(res: &mut Response<Body>, e: &OperatorError) {
    *res.status_mut() = e.status();
    let json_type = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json_type);
    if e.status() == StatusCode::UNAUTHORIZED {
        res.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    *res.body_mut() = to_json(&wire::Error::from(e)).into_body();
}

/// Serialises a generated type. This can't fail, since such types have only string keys.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
