//! HTTP client of the control loop.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::uri::{Authority, Scheme};
use http::{Request, Response, Uri};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::http_client::{self, HttpClient};
use crate::socket;

/// Size limit of an answer's body. The largest answers are encoded pages of the store.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request has no answer that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerError {
    /// No whole answer came in time. The request may have taken effect.
    Unanswered,
    /// The body is above the size limit. The same request would be answered in the same way.
    TooLarge,
}

/// Sends the control loop's requests to the store and to other nodes. Silent connections are
/// ended in the same way as those of calls.
#[derive(Debug, Clone)]
pub(crate) struct ControlHttpClient {
    client: HttpClient,
}

impl ControlHttpClient {
    /// Creates a client that gives up opening a connection after `connect_timeout`.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = http_client::connector(connect_timeout);
        socket::set_connector_keepalive(&mut connector);
        Self { client: http_client::client(connector, IDLE_TIMEOUT) }
    }

    /// Sends `request` to `address` and waits for the head of the answer until `limit` is over.
    pub(crate) async fn send_within(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Incoming>, AnswerError> {
        let head = timeout(limit, self.send(address, request)).await;
        head.ok().flatten().ok_or(AnswerError::Unanswered)
    }

    /// Sends `request` to `address` and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Option<Response<Incoming>> {
        let (mut parts, body) = request.into_parts();
        let mut uri = parts.uri.into_parts();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = Authority::try_from(address.to_string()).ok();
        parts.uri = Uri::from_parts(uri).ok()?;
        self.client.request(Request::from_parts(parts, Full::new(body))).await.ok()
    }
}

/// Reads the body of `response`, of up to [`MAX_RESPONSE_BYTES`], until `limit` is over.
pub(crate) async fn read_within(
    response: Response<Incoming>,
    limit: Duration,
) -> Result<Response<Bytes>, AnswerError> {
    let (head, body) = response.into_parts();
    let body = timeout(limit, read_body(body)).await.unwrap_or(Err(AnswerError::Unanswered))?;
    Ok(Response::from_parts(head, body))
}

/// Reads a body of up to [`MAX_RESPONSE_BYTES`] to its end.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, AnswerError> {
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(AnswerError::TooLarge),
        Err(_) => Err(AnswerError::Unanswered),
    }
}
