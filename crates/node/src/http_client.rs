//! The client of outside services.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// A client of outside services, which keeps idle connections.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A connector that opens connections within `connect_time`.
pub(crate) fn connector(connect_time: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_time));
    connector
}

/// A client that keeps idle connections for `idle_time` and sends each request once.
pub(crate) fn client(connector: HttpConnector, idle_time: Duration) -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_time)
        // A write that is sent again would count as a second write.
        .retry_canceled_requests(false)
        .build(connector)
}
