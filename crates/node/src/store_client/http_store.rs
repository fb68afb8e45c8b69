//! HTTP client of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::report::HourKey;
use almondsail_core::store::{
    Revision, StoreError, StoreReply, StoreRequest, StoredConfig, StoredHour,
};
use almondsail_wire::{MAX_CONFIG_BYTES, decode_config, decode_hour, encode_config, encode_hour};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{StoreCallCounter, StoreClient};
use crate::http_client::{self, HttpClient};

/// Key of the configuration in the store.
const CONFIG_KEY: &str = "almondsail/config";
/// Prefix of the keys `almondsail/report/DATA_CENTRE/HOUR` of hourly sums.
const REPORT_PATH: &str = "almondsail/report";
/// Response header with the revision of the value.
const REVISION_HEADER: &str = "x-revision";
/// How long the store waits for a change before it answers a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle connections are closed after this time, before the store is likely to close them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// HTTP client of the store.
#[derive(Debug, Clone)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
    counter: StoreCallCounter,
    client: HttpClient,
}

impl HttpStore {
    /// Creates a client for the store at `address`. A request may take `timeout`; a watch may take
    /// 30 s longer.
    pub fn new(address: SocketAddr, timeout: Duration, counter: StoreCallCounter) -> Self {
        let client = http_client::client(http_client::connector(timeout), IDLE_TIMEOUT);
        Self { address, timeout, counter, client }
    }

    async fn read(&self) -> StoreReply {
        match self.call(Method::GET, CONFIG_KEY, Bytes::new(), self.timeout).await {
            Ok((status, revision, body)) => config_reply(status, revision, &body),
            // A failed read has no effect in any case.
            Err(_) => StoreReply::Failed(StoreError::NoEffect),
        }
    }

    async fn watch(&self, revision: Revision) -> StoreReply {
        let target =
            format!("{CONFIG_KEY}?watch={revision}&timeout_ms={}", WATCH_TIMEOUT.as_millis());
        let limit = WATCH_TIMEOUT + self.timeout;
        match self.call(Method::GET, &target, Bytes::new(), limit).await {
            Ok((StatusCode::NOT_MODIFIED, _, _)) => StoreReply::Unchanged,
            Ok((status, revision, body)) => config_reply(status, revision, &body),
            Err(_) => StoreReply::Failed(StoreError::NoEffect),
        }
    }

    async fn read_hour(&self, key: &HourKey) -> StoreReply {
        match self.call(Method::GET, &hour_path(key), Bytes::new(), self.timeout).await {
            Ok((status, revision, body)) => hour_reply(status, revision, &body),
            Err(_) => StoreReply::Failed(StoreError::NoEffect),
        }
    }

    async fn compare_and_swap(&self, key: &str, revision: Revision, value: Vec<u8>) -> StoreReply {
        let target = format!("{key}?revision={revision}");
        match self.call(Method::PUT, &target, Bytes::from(value), self.timeout).await {
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
        target: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Option<Revision>, Bytes), StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}/v1/kv/{target}", self.address))
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
        let (status, revision) = (response.status(), revision_header(&response));
        let body = Limited::new(response.into_body(), MAX_CONFIG_BYTES).collect().await;
        let body = body.map_err(|_| StoreError::Unknown)?.to_bytes();
        Ok((status, revision, body))
    }
}

impl StoreClient for HttpStore {
    fn request(&self, request: StoreRequest) -> impl Future<Output = StoreReply> + 'static {
        let store = self.clone();
        async move {
            let operation = operation_label(&request);
            let reply = match request {
                StoreRequest::Read => store.read().await,
                StoreRequest::Watch(revision) => store.watch(revision).await,
                StoreRequest::CompareAndSwap { revision, config } => {
                    store.compare_and_swap(CONFIG_KEY, revision, encode_config(&config)).await
                }
                StoreRequest::ReadHour(key) => store.read_hour(&key).await,
                StoreRequest::SwapHour { key, revision, value } => {
                    let path = hour_path(&key);
                    store.compare_and_swap(&path, revision, encode_hour(&value)).await
                }
            };
            store.counter.count(operation, result_label(&reply));
            reply
        }
    }
}

fn revision_header(response: &Response<Incoming>) -> Option<Revision> {
    response.headers().get(REVISION_HEADER)?.to_str().ok()?.parse().ok()
}

/// Converts the response to a read of the configuration.
fn config_reply(status: StatusCode, revision: Option<Revision>, body: &[u8]) -> StoreReply {
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

/// Converts the response to a read of an hour's sums.
fn hour_reply(status: StatusCode, revision: Option<Revision>, body: &[u8]) -> StoreReply {
    match (status, revision) {
        (StatusCode::NOT_FOUND, _) => {
            StoreReply::Hour(StoredHour { revision: Revision::default(), value: None })
        }
        (StatusCode::OK, Some(revision)) => match decode_hour(body) {
            Ok(value) => StoreReply::Hour(StoredHour { revision, value: Some(value) }),
            Err(_) => StoreReply::Failed(StoreError::Corrupt),
        },
        _ => StoreReply::Failed(StoreError::NoEffect),
    }
}

fn hour_path(key: &HourKey) -> String {
    format!("{REPORT_PATH}/{}/{}", key.data_centre, key.hour.get())
}

fn operation_label(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Read => "read",
        StoreRequest::Watch(_) => "watch",
        StoreRequest::CompareAndSwap { .. } => "compare_and_swap",
        StoreRequest::ReadHour(_) => "read_hour",
        StoreRequest::SwapHour { .. } => "swap_hour",
    }
}

fn result_label(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Value(_) | StoreReply::Hour(_) => "value",
        StoreReply::Unchanged => "unchanged",
        StoreReply::Written(_) => "written",
        StoreReply::Failed(StoreError::NoEffect) => "no_effect",
        StoreReply::Failed(StoreError::Unknown) => "unknown",
        StoreReply::Failed(StoreError::Conflict) => "conflict",
        StoreReply::Failed(StoreError::Corrupt) => "corrupt",
    }
}
