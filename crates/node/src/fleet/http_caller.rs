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
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// How long an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// How long an answer may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallLimits {
    /// Until its head has come.
    pub(crate) head: Duration,
    /// Until it has come whole.
    pub(crate) whole: Duration,
}

/// Sends requests of the control state, with the same treatment of silent connections as
/// for calls.
#[derive(Debug, Clone)]
pub(crate) struct HttpCaller {
    client: HttpClient,
}

impl HttpCaller {
    /// A caller that opens connections within `connect_time`.
    pub(crate) fn new(connect_time: Duration) -> Self {
        let mut connector = http_client::connector(connect_time);
        socket::end_if_silent(&mut connector);
        Self { client: http_client::client(connector, IDLE_TIME) }
    }

    /// Sends `request` to `address`; `None` if no whole answer comes within `limits`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limits: CallLimits,
    ) -> Option<(StatusCode, Bytes)> {
        timeout(limits.whole, self.exchange(address, request, limits.head)).await.ok().flatten()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        head_limit: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let (mut parts, body) = request.into_parts();
        let mut uri = parts.uri.into_parts();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = Authority::try_from(address.to_string()).ok();
        parts.uri = Uri::from_parts(uri).ok()?;
        let request = Request::from_parts(parts, Full::new(body));
        let response = timeout(head_limit, self.client.request(request)).await.ok()?.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await.ok()?;
        Some((status, body.to_bytes()))
    }
}
