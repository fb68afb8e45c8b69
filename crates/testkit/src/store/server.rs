//! The HTTP server of the test store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, bail};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::{
    KeyValues, LeaseId, PutOutcome, RateLimit, Revision, StoreCounts, StoreMode, StoreOptions,
};
use crate::http::{Handled, HttpServer, Query, Reply, ReplyBody, ServerOptions};

/// How long a watch waits if the call has no `timeout_ms` parameter.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_millis(30_000);

/// The test double of the platform's key-value service.
#[derive(Debug)]
pub struct StoreServer {
    server: HttpServer,
    store: Arc<Store>,
}

#[derive(Debug)]
struct Store {
    /// Never locked across an `await`.
    state: Mutex<State>,
    /// Notifies on every write, lease call, expired lease and change of mode.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    values: KeyValues,
    mode: StoreMode,
    counts: StoreCounts,
    reads: RateLimit,
    writes: RateLimit,
}

/// The kind of a call, which selects its counter and rate limit.
#[derive(Debug, Clone, Copy)]
enum Call {
    Read,
    Watch,
    Write,
    Lease,
}

impl StoreServer {
    /// Binds the listener and creates an empty store.
    pub async fn bind(options: StoreOptions) -> Result<Self> {
        let server = HttpServer::bind(options.listen, ServerOptions::default()).await?;
        let now = Instant::now();
        let state = State {
            values: KeyValues::default(),
            mode: StoreMode::default(),
            counts: StoreCounts::default(),
            reads: RateLimit::new(options.reads, now),
            writes: RateLimit::new(options.writes, now),
        };
        let store = Store { state: Mutex::new(state), changes: watch::Sender::new(()) };
        Ok(Self { server, store: Arc::new(store) })
    }

    /// Returns the address of the listener, with the port that the system chose.
    pub fn address(&self) -> Result<SocketAddr> {
        self.server.address()
    }

    /// Serves until `stop` becomes true.
    pub async fn serve(self, stop: watch::Receiver<bool>) {
        let store = Arc::clone(&self.store);
        let expiry = tokio::spawn(async move { store.expire_leases().await });
        let store = self.store;
        let handler = move |req| {
            let store = Arc::clone(&store);
            async move { store.handle(req).await }
        };
        self.server.serve(handler, stop).await;
        expiry.abort();
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends leases when they expire and notifies the watches.
    async fn expire_leases(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            let next = self.lock().values.next_expiry();
            let fallback = Instant::now() + Duration::from_secs(3_600);
            tokio::select! {
                () = tokio::time::sleep_until(next.unwrap_or(fallback).into()) => {
                    if self.lock().values.expire(Instant::now()) {
                        self.changes.send_replace(());
                    }
                }
                _ = changes.changed() => {}
            }
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Handled {
        match self.route(req).await {
            Ok(handled) => handled,
            Err(error) => answer(StatusCode::BAD_REQUEST, format!("{error:#}")),
        }
    }

    async fn route(&self, req: Request<Incoming>) -> Result<Handled> {
        let (parts, body) = req.into_parts();
        let path = parts.uri.path().to_owned();
        let query = Query::of(&parts.uri);
        let body = body.collect().await?.to_bytes();
        if let Some(control) = path.strip_prefix("/control/") {
            return self.control(&parts.method, control, body);
        }
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match parts.method {
                Method::GET => self.get(key, query).await,
                Method::PUT => self.put(key, query, body).await,
                _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT")),
            };
        }
        match path.strip_prefix("/v1/leases") {
            Some(id) => self.lease(&parts.method, id, query).await,
            None => Ok(answer(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Counts a call and applies the mode's delay; returns false if the call is rejected.
    async fn admit(&self, call: Call) -> bool {
        if !self.lock().count(call) {
            return self.refuse();
        }
        let slow_ms = self.lock().mode.slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        // The mode may have changed during the delay.
        if self.lock().mode.down { self.refuse() } else { true }
    }

    fn refuse(&self) -> bool {
        self.lock().counts.refused += 1;
        false
    }

    async fn get(&self, key: &str, query: Query<'_>) -> Result<Handled> {
        let known: Option<Revision> = query.value("watch")?;
        let call = if known.is_some() { Call::Watch } else { Call::Read };
        if !self.admit(call).await {
            return Ok(unavailable());
        }
        let Some(known) = known else {
            return Ok(self.read(key));
        };
        let wait = query.value("timeout_ms")?.map_or(DEFAULT_WATCH_TIMEOUT, Duration::from_millis);
        let mut changes = self.changes.subscribe();
        let changed = changes.wait_for(|()| {
            let state = self.lock();
            state.mode.down || state.values.revision(key) != known
        });
        let changed = tokio::time::timeout(wait, changed).await.is_ok();
        if self.lock().mode.down {
            self.refuse();
            return Ok(unavailable());
        }
        Ok(if changed {
            self.read(key)
        } else {
            with_revision(StatusCode::NOT_MODIFIED, known, "")
        })
    }

    fn read(&self, key: &str) -> Handled {
        match self.lock().values.get(key) {
            Some((bytes, revision)) => with_revision(StatusCode::OK, revision, bytes),
            None => with_revision(StatusCode::NOT_FOUND, Revision::NONE, ""),
        }
    }

    async fn put(&self, key: &str, query: Query<'_>, body: Bytes) -> Result<Handled> {
        let Some(expected) = query.value("revision")? else { bail!("revision is missing") };
        let lease = query.value("lease")?;
        if !self.admit(Call::Write).await {
            return Ok(unavailable());
        }
        let put = self.lock().values.put(key, body, expected, lease);
        match put {
            PutOutcome::Written(revision) => {
                self.changes.send_replace(());
                let is_lost = self.lock().take_lost_answer();
                let handled = with_revision(StatusCode::OK, revision, "");
                Ok(if is_lost { Handled::Close } else { handled })
            }
            PutOutcome::Conflict(current) => Ok(with_revision(StatusCode::CONFLICT, current, "")),
            PutOutcome::TooLarge => Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, "over 1000000 bytes")),
            PutOutcome::NoLease => Ok(answer(StatusCode::NOT_FOUND, "no such lease")),
        }
    }

    async fn lease(&self, method: &Method, id: &str, query: Query<'_>) -> Result<Handled> {
        if !self.admit(Call::Lease).await {
            return Ok(unavailable());
        }
        let id: Option<LeaseId> = id.strip_prefix('/').map(str::parse).transpose()?;
        let now = Instant::now();
        let is_known = match (method, id) {
            (&Method::POST, None) => {
                let Some(ttl) = query.value("ttl_ms")? else { bail!("ttl_ms is missing") };
                let id = self.lock().values.grant(now, Duration::from_millis(ttl));
                self.changes.send_replace(());
                return Ok(answer(StatusCode::OK, id.to_string()));
            }
            (&Method::PUT, Some(id)) => self.lock().values.renew(now, id),
            (&Method::DELETE, Some(id)) => self.lock().values.revoke(id),
            _ => return Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "POST, PUT ID or DELETE ID")),
        };
        self.changes.send_replace(());
        Ok(match is_known {
            true => answer(StatusCode::OK, ""),
            false => answer(StatusCode::NOT_FOUND, "no such lease"),
        })
    }

    fn control(&self, method: &Method, path: &str, body: Bytes) -> Result<Handled> {
        match (method, path) {
            (&Method::PUT, "mode") => {
                self.lock().mode = serde_json::from_slice(&body)?;
                self.changes.send_replace(());
            }
            (&Method::GET, "counts") => {
                return Ok(Handled::Answer(Reply::json_to_send(&self.lock().counts)));
            }
            (&Method::DELETE, "counts") => self.lock().counts = StoreCounts::default(),
            (&Method::PUT, path) if path.starts_with("value/") => {
                let key = &path["value/".len()..];
                let revision = self.lock().values.set(key, body, None);
                self.changes.send_replace(());
                return Ok(with_revision(StatusCode::OK, revision, ""));
            }
            _ => return Ok(answer(StatusCode::NOT_FOUND, "unknown control request")),
        }
        Ok(answer(StatusCode::OK, ""))
    }
}

impl State {
    /// Counts a call; returns false if it exceeds the rate limit or the store is down.
    fn count(&mut self, call: Call) -> bool {
        let now = Instant::now();
        let (count, limit) = match call {
            Call::Read => (&mut self.counts.reads, &mut self.reads),
            Call::Watch => (&mut self.counts.watches, &mut self.reads),
            Call::Write => (&mut self.counts.writes, &mut self.writes),
            Call::Lease => (&mut self.counts.leases, &mut self.writes),
        };
        *count += 1;
        limit.try_take(now) && !self.mode.down
    }

    /// Returns whether to drop the answer to the current write, and counts it as dropped.
    fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.mode.lose_answers > 0;
        self.mode.lose_answers -= u64::from(is_lost);
        is_lost
    }
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Handled {
    Handled::Answer(Reply::to_send(status, body))
}

fn unavailable() -> Handled {
    answer(StatusCode::SERVICE_UNAVAILABLE, "")
}

fn with_revision(status: StatusCode, revision: Revision, body: impl Into<Bytes>) -> Handled {
    let mut response: Response<ReplyBody> = Reply::to_send(status, body);
    if let Ok(value) = HeaderValue::try_from(revision.to_string()) {
        response.headers_mut().insert("x-revision", value);
    }
    Handled::Answer(response)
}
