//! A client that checks every answer against its request.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Report;

use super::{CallOutcome, CallRequest};
use crate::backend::Echo;
use crate::http::{HttpClient, Reply};

/// The largest number of times that a call is sent.
const MAX_ATTEMPTS: usize = 100;
/// Delay before a call is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A client of the mesh that checks every answer against its request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The addresses of the nodes that accept the calls; not empty.
    addresses: Vec<SocketAddr>,
}

impl Caller {
    /// Creates a caller that sends its calls to the nodes at `addresses`.
    ///
    /// # Panics
    ///
    /// Panics if `addresses` is empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        assert!(!addresses.is_empty(), "a caller needs a node");
        Self { addresses }
    }

    /// Sends a call once, to the node at `node_index` modulo the number of nodes.
    pub async fn send(&self, node_index: usize, request: &CallRequest) -> CallOutcome {
        let client = HttpClient::new(self.addresses[node_index % self.addresses.len()]);
        let key = request.key.iter().map(|key| ("idempotency-key", key.as_str()));
        let headers: Vec<_> = key.collect();
        let method = request.method.clone();
        match client.send(method, &request.target, request.body.clone(), &headers).await {
            Ok(reply) => classify(request, &reply),
            Err(error) if is_refused_connection(&error) => {
                CallOutcome::NotConnected(format!("{error:#}"))
            }
            Err(error) => CallOutcome::Broken(format!("{error:#}")),
        }
    }

    /// Sends a call to one node after the other until it has an outcome after which a
    /// non-idempotent call must not be retried, or the largest number of attempts is reached.
    ///
    /// Returns the last outcome and the number of times that the call was sent.
    pub async fn call(&self, node_index: usize, request: &CallRequest) -> (CallOutcome, usize) {
        let mut attempt = 1;
        loop {
            let outcome = self.send(node_index + attempt - 1, request).await;
            if !outcome.is_safe_to_retry() || attempt == MAX_ATTEMPTS {
                return (outcome, attempt);
            }
            attempt += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns whether the connection was refused, in which case nothing was sent.
fn is_refused_connection(error: &Report) -> bool {
    error
        .chain()
        .filter_map(|cause| cause.downcast_ref::<std::io::Error>())
        .any(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn classify(request: &CallRequest, reply: &Reply) -> CallOutcome {
    if let Some(verdict) = reply.header("almondsail-verdict") {
        let reason = reply.header("almondsail-reason").unwrap_or("").to_owned();
        return match verdict.parse() {
            Ok(verdict) => CallOutcome::Verdict(verdict, reason),
            Err(error) => CallOutcome::WrongAnswer(error.to_string()),
        };
    }
    let checked = reply.json::<Echo>().and_then(|echo| {
        let key = request.key.as_deref();
        echo.check(request.method.as_str(), &request.target, &request.body, key)?;
        Ok(echo)
    });
    match checked {
        Ok(echo) => CallOutcome::Answered(Box::new(echo)),
        Err(error) => CallOutcome::WrongAnswer(format!("{}: {error:#}", reply.status)),
    }
}
