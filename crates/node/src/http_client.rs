//! HTTP client for external services.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// HTTP client for external services, which reuses idle connections.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a connector that gives up on a connection after `connect_timeout`.
pub(crate) fn connector(connect_timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    connector
}

/// Creates a client that keeps idle connections for `idle_timeout` and never retries a request.
pub(crate) fn client(connector: HttpConnector, idle_timeout: Duration) -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        // A retried write would count as a second write.
        .retry_canceled_requests(false)
        .build(connector)
}
