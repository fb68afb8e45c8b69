//! The store over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::config::Config;
use almondsail_core::store::{Revision, StoreError, StoreReply, StoreRequest, StoredConfig};
use almondsail_wire::{MAX_CONFIG_BYTES, decode_config, encode_config};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use super::{CallCounts, StoreClient};

/// The key that holds the configuration.
const CONFIG_KEY: &str = "almondsail/config";
/// The header that holds a value's revision.
const REVISION_HEADER: &str = "x-revision";
/// How long a watch waits for a change.
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Idle connections are closed before the store is likely to close them.
const IDLE_TIME: Duration = Duration::from_secs(40);

/// The store over HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
    counts: CallCounts,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// A client for the store at `address` that waits for `timeout` at most.
    pub fn new(address: SocketAddr, timeout: Duration, counts: CallCounts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIME)
            // A write that is sent again would count as a second write.
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, timeout, counts, client }
    }

    async fn read(&self) -> StoreReply {
        match self.call(Method::GET, String::new(), Bytes::new(), self.timeout).await {
            Ok((status, revision, body)) => value(status, revision, &body),
            // A read has no effect, whether its answer came or not.
            Err(_) => StoreReply::Failed(StoreError::NoEffect),
        }
    }

    async fn watch(&self, revision: Revision) -> StoreReply {
        let query = format!("?watch={revision}&timeout_ms={}", WATCH_TIME.as_millis());
        let limit = WATCH_TIME + self.timeout;
        match self.call(Method::GET, query, Bytes::new(), limit).await {
            Ok((StatusCode::NOT_MODIFIED, _, _)) => StoreReply::Unchanged,
            Ok((status, revision, body)) => value(status, revision, &body),
            Err(_) => StoreReply::Failed(StoreError::NoEffect),
        }
    }

    async fn compare_and_swap(&self, revision: Revision, cfg: &Config) -> StoreReply {
        let query = format!("?revision={revision}");
        let body = Bytes::from(encode_config(cfg));
        match self.call(Method::PUT, query, body, self.timeout).await {
            Ok((StatusCode::OK, Some(revision), _)) => StoreReply::Written(revision),
            Ok((StatusCode::CONFLICT, _, _)) => StoreReply::Failed(StoreError::Conflict),
            Ok((status, _, _)) if status.is_client_error() => {
                StoreReply::Failed(StoreError::NoEffect)
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE, _, _)) => StoreReply::Failed(StoreError::NoEffect),
            Ok(_) => StoreReply::Failed(StoreError::Unknown),
            Err(e) => StoreReply::Failed(e),
        }
    }

    async fn call(
        &self,
        method: Method,
        query: String,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Option<Revision>, Bytes), StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}/v1/kv/{CONFIG_KEY}{query}", self.address))
            .body(Full::new(body))
            .map_err(|_| StoreError::NoEffect)?;
        timeout(limit, self.exchange(req)).await.unwrap_or(Err(StoreError::Unknown))
    }

    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Option<Revision>, Bytes), StoreError> {
        let response =
            self.client.request(req).await.map_err(|e| {
                if e.is_connect() { StoreError::NoEffect } else { StoreError::Unknown }
            })?;
        let (status, revision) = (response.status(), revision(&response));
        let body = Limited::new(response.into_body(), MAX_CONFIG_BYTES).collect().await;
        let body = body.map_err(|_| StoreError::Unknown)?.to_bytes();
        Ok((status, revision, body))
    }
}

impl StoreClient for HttpStore {
    fn request(&self, request: StoreRequest) -> impl Future<Output = StoreReply> + 'static {
        let store = self.clone();
        async move {
            let operation = operation(&request);
            let reply = match request {
                StoreRequest::Read => store.read().await,
                StoreRequest::Watch(revision) => store.watch(revision).await,
                StoreRequest::CompareAndSwap { revision, config } => {
                    store.compare_and_swap(revision, &config).await
                }
            };
            store.counts.add(operation, result(&reply));
            reply
        }
    }
}

fn revision(response: &Response<Incoming>) -> Option<Revision> {
    response.headers().get(REVISION_HEADER)?.to_str().ok()?.parse().ok()
}

/// The reply for a value that was read.
fn value(status: StatusCode, revision: Option<Revision>, body: &[u8]) -> StoreReply {
    match (status, revision) {
        (StatusCode::NOT_FOUND, _) => {
            StoreReply::Value(StoredConfig { revision: Revision::default(), config: None })
        }
        (StatusCode::OK, Some(revision)) => match decode_config(body) {
            Ok(cfg) => StoreReply::Value(StoredConfig { revision, config: Some(Arc::new(cfg)) }),
            Err(_) => StoreReply::Failed(StoreError::Corrupt),
        },
        _ => StoreReply::Failed(StoreError::NoEffect),
    }
}

fn operation(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Read => "read",
        StoreRequest::Watch(_) => "watch",
        StoreRequest::CompareAndSwap { .. } => "compare_and_swap",
    }
}

fn result(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Value(_) => "value",
        StoreReply::Unchanged => "unchanged",
        StoreReply::Written(_) => "written",
        StoreReply::Failed(StoreError::NoEffect) => "no_effect",
        StoreReply::Failed(StoreError::Unknown) => "unknown",
        StoreReply::Failed(StoreError::Conflict) => "conflict",
        StoreReply::Failed(StoreError::Corrupt) => "corrupt",
    }
}
