//! A caller that checks every answer.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Report;

use super::{CallEnd, CallRequest};
use crate::backend::Echo;
use crate::http::{HttpClient, Reply};

/// How often a call is sent at most.
const MAX_ATTEMPTS: usize = 100;
/// How long to wait before a call is sent again.
const PAUSE: Duration = Duration::from_millis(20);

/// A caller that checks every answer against its request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The callers' addresses of the nodes that it uses in turn; not empty.
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// A caller that uses these nodes in turn.
    ///
    /// # Panics
    ///
    /// If there are no nodes.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        assert!(!entries.is_empty(), "a caller needs a node");
        Self { entries }
    }

    /// Sends a call once, through the node at `turn`.
    pub async fn send(&self, turn: usize, request: &CallRequest) -> CallEnd {
        let client = HttpClient::new(self.entries[turn % self.entries.len()]);
        let key = request.key.iter().map(|key| ("idempotency-key", key.as_str()));
        let headers: Vec<_> = key.collect();
        let method = request.method.clone();
        match client.send(method, &request.target, request.body.clone(), &headers).await {
            Ok(reply) => judge(request, &reply),
            Err(error) if is_refused_connection(&error) => {
                CallEnd::NotConnected(format!("{error:#}"))
            }
            Err(error) => CallEnd::Broken(format!("{error:#}")),
        }
    }

    /// Sends a call, through one node after the other, until it ends in a way
    /// after which a non-idempotent call must not be sent again.
    ///
    /// Gives the last end and the number of times that it was sent.
    pub async fn call(&self, turn: usize, request: &CallRequest) -> (CallEnd, usize) {
        let mut attempt = 1;
        loop {
            let end = self.send(turn + attempt - 1, request).await;
            if !end.is_safe_to_repeat() || attempt == MAX_ATTEMPTS {
                return (end, attempt);
            }
            attempt += 1;
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Whether the connection was refused, so that no byte was sent.
fn is_refused_connection(error: &Report) -> bool {
    error
        .chain()
        .filter_map(|cause| cause.downcast_ref::<std::io::Error>())
        .any(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn judge(request: &CallRequest, reply: &Reply) -> CallEnd {
    if let Some(verdict) = reply.header("almondsail-verdict") {
        let reason = reply.header("almondsail-reason").unwrap_or("").to_owned();
        return match verdict.parse() {
            Ok(verdict) => CallEnd::Verdict(verdict, reason),
            Err(error) => CallEnd::Wrong(error.to_string()),
        };
    }
    let checked = reply.json::<Echo>().and_then(|echo| {
        let key = request.key.as_deref();
        echo.check(request.method.as_str(), &request.target, &request.body, key)?;
        Ok(echo)
    });
    match checked {
        Ok(echo) => CallEnd::Answered(Box::new(echo)),
        Err(error) => CallEnd::Wrong(format!("{}: {error:#}", reply.status)),
    }
}
