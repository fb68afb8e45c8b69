//! A received HTTP answer, and constructors for answers to send.

use bytes::Bytes;
use eyre::{Result, ensure};
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::ReplyBody;

/// An HTTP answer that was received completely.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status code of the answer.
    pub status: StatusCode,
    /// The header fields of the answer.
    pub headers: HeaderMap,
    /// The complete body, without transfer coding.
    pub body: Bytes,
}

impl Reply {
    /// Returns the header field `name`, or `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON; returns an error unless the status is 2xx.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        self.success()?;
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns an error with the status and the body unless the status is 2xx.
    pub fn success(&self) -> Result<()> {
        let text = String::from_utf8_lossy(&self.body);
        ensure!(self.status.is_success(), "status {}: {text}", self.status);
        Ok(())
    }

    /// Creates an answer to send with the given status and body.
    pub fn to_send(status: StatusCode, body: impl Into<Bytes>) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::complete(body));
        *response.status_mut() = status;
        response
    }

    /// Creates an answer to send with status 200 and `value` as JSON.
    pub fn json_to_send(value: &impl Serialize) -> Response<ReplyBody> {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let mut response = Self::to_send(StatusCode::OK, body);
                let json = http::HeaderValue::from_static("application/json");
                response.headers_mut().insert(http::header::CONTENT_TYPE, json);
                response
            }
            Err(error) => Self::to_send(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}
