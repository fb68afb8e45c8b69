//! The HTTP server of the test metadata store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::Result;
use http::{Method, Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::watch;

use super::KvState;
use crate::http::{Handled, HttpServer, Query, ReplyBody, ServerOptions};

/// Response header with the number of restorations of the store.
const ERA_HEADER: &str = "Store-Era";

/// How the metadata store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KvMode {
    /// Answers every call without an injected fault.
    Up,
    /// Closes connections without an answer.
    Down,
    /// Rejects every call with status 503.
    Busy,
    /// Accepts calls and never answers them, also not later.
    Silent,
}

/// A test double of the platform's metadata store that runs in this process.
#[derive(Debug, Clone)]
pub struct KvServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    /// Stops the server when the last clone is dropped.
    _stop: Arc<watch::Sender<bool>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<(KvState, KvMode, u64)>,
    changed: watch::Sender<()>,
}

impl KvServer {
    /// Starts a store that listens on `address` and contains no items.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        let server = HttpServer::bind(address, ServerOptions::default()).await?;
        let address = server.address()?;
        let state = Mutex::new((KvState::default(), KvMode::Up, 0));
        let shared = Arc::new(Shared { state, changed: watch::Sender::new(()) });
        let (stop, stopped) = watch::channel(false);
        let handler = {
            let shared = Arc::clone(&shared);
            move |req| answer(Arc::clone(&shared), req)
        };
        tokio::spawn(server.serve(handler, stopped));
        Ok(Self { address, shared, _stop: Arc::new(stop) })
    }

    /// Returns the address on which the store listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives `edit` access to the items and then wakes all watches.
    pub fn edit<T>(&self, edit: impl FnOnce(&mut KvState) -> T) -> T {
        let result = self.shared.with(|(state, ..)| edit(state));
        self.shared.changed.send_replace(());
        result
    }

    /// Sets how the store responds. [`KvMode::Down`] and [`KvMode::Busy`] close waiting watches;
    /// [`KvMode::Silent`] leaves them without an answer.
    pub fn set_mode(&self, mode: KvMode) {
        self.shared.with(|(_, current, _)| *current = mode);
        self.shared.changed.send_replace(());
    }

    /// Returns the number of calls received so far, in every mode.
    pub fn calls(&self) -> u64 {
        self.shared.with(|(.., calls)| *calls)
    }
}

impl Shared {
    fn with<T>(&self, f: impl FnOnce(&mut (KvState, KvMode, u64)) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Answers a call and names the era of the store in the answer.
async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Handled {
    match handle(&shared, req).await {
        Handled::Answer(mut response) => {
            let era = shared.with(|(state, ..)| state.era());
            response.headers_mut().insert(ERA_HEADER, era.into());
            Handled::Answer(response)
        }
        unanswered => unanswered,
    }
}

async fn handle(shared: &Shared, req: Request<Incoming>) -> Handled {
    let mode = shared.with(|(_, mode, calls)| {
        *calls += 1;
        *mode
    });
    match mode {
        KvMode::Up => {}
        KvMode::Down => return Handled::Close,
        KvMode::Busy => return reply(503, &Value::Null),
        KvMode::Silent => return std::future::pending().await,
    }
    let (parts, body) = req.into_parts();
    let Ok(body) = body.collect().await else { return Handled::Close };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let query = Query::of(&parts.uri);
    let prefix = query.text("prefix").unwrap_or_default();
    let path: Vec<&str> = parts.uri.path().trim_start_matches('/').split('/').collect();
    match (&parts.method, path.as_slice()) {
        (&Method::GET, ["almondsail", "kv-range"]) => {
            reply_text(200, shared.with(|(state, ..)| state.with_odd_items(state.range(prefix))))
        }
        (&Method::GET, ["almondsail", "kv-watch"]) => {
            let number = |name: &str| query.text(name).and_then(|n| n.parse().ok()).unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms"));
            watch_changes(shared, prefix, number("after"), wait).await
        }
        (&Method::POST, ["almondsail", "kv-lease"]) => {
            let ttl = body["ttl_ms"].as_u64().unwrap_or(1_000);
            reply(200, &shared.with(|(state, ..)| state.open_lease(ttl)))
        }
        (&Method::POST, ["almondsail", "kv-keep", lease]) => {
            let lease = lease.parse().unwrap_or(0);
            match shared.with(|(state, ..)| state.keep_lease(lease)) {
                Some(kept) => reply(200, &kept),
                None => reply(404, &Value::Null),
            }
        }
        (&Method::POST, ["almondsail", "kv-txn"]) => {
            let (status, answer) = shared.with(|(state, ..)| state.transact(&body));
            shared.changed.send_replace(());
            reply(status, &answer)
        }
        _ => reply(400, &Value::Null),
    }
}

async fn watch_changes(shared: &Shared, prefix: &str, after: u64, wait: Duration) -> Handled {
    let mut changed = shared.changed.subscribe();
    let until = tokio::time::Instant::now() + wait;
    loop {
        let (mode, changes, as_of) =
            shared.with(|(state, mode, _)| (*mode, state.changes(prefix, after), state.revision()));
        let Some(changes) = changes else { return reply(410, &Value::Null) };
        match mode {
            KvMode::Up => {}
            KvMode::Silent => return std::future::pending().await,
            KvMode::Down | KvMode::Busy => return Handled::Close,
        }
        let is_over = tokio::time::Instant::now() >= until;
        if !changes.is_empty() || is_over {
            let body = serde_json::json!({"events": changes, "as_of": as_of});
            return reply_text(200, shared.with(|(state, ..)| state.with_odd_items(body)));
        }
        let _over = tokio::time::timeout_at(until, changed.changed()).await;
    }
}

fn reply(status: u16, body: &Value) -> Handled {
    reply_text(status, body.to_string())
}

fn reply_text(status: u16, body: String) -> Handled {
    let response = Response::builder().status(status);
    match response.body(ReplyBody::complete(body)) {
        Ok(response) => Handled::Answer(response),
        Err(_) => Handled::Close,
    }
}
