//! An answer read as a whole, and short forms for building answers.

use bytes::Bytes;
use eyre::{Result, ensure};
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::ReplyBody;

/// An answer that was read as a whole.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The header.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// The text of the header field `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as JSON; an error unless the status is a success.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        self.success()?;
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// An error that names the status and the body unless the status is a success.
    pub fn success(&self) -> Result<()> {
        let text = String::from_utf8_lossy(&self.body);
        ensure!(self.status.is_success(), "status {}: {text}", self.status);
        Ok(())
    }

    /// An answer of this status with a body to be sent.
    pub fn to_send(status: StatusCode, body: impl Into<Bytes>) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::complete(body));
        *response.status_mut() = status;
        response
    }

    /// A JSON answer of status 200 to be sent.
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
