//! Callers of a soak run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use rand::Rng as _;
use rand::rngs::SmallRng;

use crate::http::{KeptConnection, Reply};

use super::shared::Shared;
use super::{Call, CallEnd, CallKind, SERVICES};

/// Time limit of a call, which the caller names to the node.
const DEADLINE: Duration = Duration::from_secs(6);
/// When a caller gives up waiting for an answer.
const GIVE_UP: Duration = Duration::from_secs(14);
/// Longest time between two calls of a caller.
const MAX_THINK_MS: u64 = 60;
/// Time until a caller opens a connection again to a node that takes none.
const RECONNECT_DELAY: Duration = Duration::from_millis(40);

/// A caller on the host of one node. It keeps its connection for as long as the node does.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) number: usize,
    pub(super) node: usize,
    pub(super) rng: SmallRng,
    pub(super) shared: Arc<Shared>,
}

impl Caller {
    /// Sends one call after another until the run ends.
    pub(super) async fn run(mut self) {
        let mut connection = None;
        for n in 0.. {
            if self.shared.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let think = Duration::from_millis(self.rng.random_range(0..MAX_THINK_MS));
            tokio::time::sleep(think).await;
            if connection.is_none() {
                connection = self.connect().await;
            }
            let Some(open) = &mut connection else {
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            };
            // A connection that the node has closed is known as closed here, and the call not sent.
            if open.ready().await.is_err() {
                connection = None;
                continue;
            }
            let call = self.draw(n);
            if !self.exchange(open, call).await {
                connection = None;
            }
        }
    }

    async fn connect(&self) -> Option<KeptConnection> {
        KeptConnection::connect(self.shared.address(self.node)?).await.ok()
    }

    fn draw(&mut self, n: usize) -> Call {
        let checker = self.shared.checker();
        let configs = &checker.timeline.configs;
        let kind = match self.rng.random_range(0..100) {
            0..15 => CallKind::Marker(configs.latest()),
            15..60 => CallKind::Once,
            _ => CallKind::Idempotent,
        };
        let credentials = configs.all_credentials();
        drop(checker);
        let name = |number: usize| format!("credential-{number}");
        let credential = match self.rng.random_range(0..100) {
            _ if matches!(kind, CallKind::Marker(_)) => None,
            0..6 => Some(format!("unknown-{n}")),
            // Recent credentials are more often valid.
            6..60 => Some(name(credentials - 1 - self.rng.random_range(0..credentials.min(6)))),
            _ => Some(name(self.rng.random_range(0..credentials))),
        };
        let length = match self.rng.random_range(0..100) {
            0..85 => self.rng.random_range(0..40),
            85..95 => self.rng.random_range(1_000..8_000),
            _ => self.rng.random_range(20_000..60_000),
        };
        let id = format!("call-{}-{n}", self.number);
        let payload = format!("{id} ").repeat(length / id.len() + 1);
        Call { id, kind, node: self.node, credential, payload, sent: self.shared.now() }
    }

    /// Sends `call` and records its end. Returns whether the connection can carry another one.
    async fn exchange(&mut self, connection: &mut KeptConnection, call: Call) -> bool {
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        let (method, path, host) = match call.kind {
            CallKind::Idempotent => (Method::GET, "/safe/".to_owned(), service),
            CallKind::Once => (Method::POST, "/unsafe/".to_owned(), service),
            CallKind::Marker(version) => (Method::GET, format!("/v{version}/"), "marker"),
        };
        let host = format!("{host}.example");
        let deadline = DEADLINE.as_millis().to_string();
        let token = call.credential.as_ref().map(|credential| format!("Token {credential}"));
        let mut headers = vec![
            ("host", host.as_str()),
            ("almondsail-attempt-id", call.id.as_str()),
            ("almondsail-deadline-ms", deadline.as_str()),
            ("almondsail-tenant", "forged"),
        ];
        headers.extend(token.as_deref().map(|token| ("authorization", token)));
        self.shared.checker().sent(call.clone());
        let body = call.payload.clone().into();
        let sent = connection.send(method, &path, body, &headers);
        let end = match tokio::time::timeout(GIVE_UP, sent).await {
            Ok(Ok(reply)) => answer(&reply),
            Ok(Err(_)) => CallEnd::Cut,
            Err(_) => CallEnd::TimedOut,
        };
        let is_open = end.status().is_some();
        self.shared.checker().ended(&call.id, self.shared.now(), end);
        is_open
    }
}

fn answer(reply: &Reply) -> CallEnd {
    let header = |name: &str| reply.header(name).unwrap_or_default().to_owned();
    CallEnd::Answer {
        status: reply.status,
        id: header("almondsail-attempt-id"),
        signature: header("almondsail-server-signature"),
        reason: header("almondsail-reason"),
        body: String::from_utf8_lossy(&reply.body).into_owned(),
    }
}
