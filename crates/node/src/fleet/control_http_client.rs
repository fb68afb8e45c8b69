//! Sends requests of the control state over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::uri::{Authority, Scheme};
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::time::timeout;

use crate::http_client::{self, HttpClient};
use crate::socket;

/// The largest answer that is read: a page of the store with its encoding.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an answer may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestTimeouts {
    /// Until its head has come.
    pub(crate) head: Duration,
    /// Until it has come whole.
    pub(crate) total: Duration,
}

/// Sends requests of the control state, with the same treatment of silent connections as
/// for calls.
#[derive(Debug, Clone)]
pub(crate) struct ControlHttpClient {
    client: HttpClient,
}

impl ControlHttpClient {
    /// A caller that opens connections within `connect_time`.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = http_client::connector(connect_timeout);
        socket::end_if_silent(&mut connector);
        Self { client: http_client::client(connector, IDLE_TIMEOUT) }
    }

    /// Sends `request` to `address`; `None` if no whole answer comes within `limits`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: RequestTimeouts,
    ) -> Option<(StatusCode, Bytes)> {
        timeout(timeouts.total, self.exchange(address, request, timeouts.head)).await.ok().flatten()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        head_timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let (mut parts, body) = request.into_parts();
        let mut uri = parts.uri.into_parts();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = Authority::try_from(address.to_string()).ok();
        parts.uri = Uri::from_parts(uri).ok()?;
        let request = Request::from_parts(parts, Full::new(body));
        let response = timeout(head_timeout, self.client.request(request)).await.ok()?.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
        Some((status, body.to_bytes()))
    }
}
