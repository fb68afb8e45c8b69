//! A request received by the test backend server.

use std::time::Duration;

use almondsail_core::ids::Digest;
use bytes::Bytes;
use http::request::Parts;
use tokio::time::Instant;

/// The time assumed to remain for a call without a deadline.
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request received by the test backend server, reduced to what it echoes and obeys.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) method: String,
    /// The path and query of the request's target.
    pub(super) path: String,
    pub(super) key: Option<String>,
    pub(super) digest: Digest,
    pub(super) deadline: Option<Instant>,
}

impl Call {
    pub(super) fn new(parts: &Parts, body: &Bytes) -> Self {
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let remaining = text("almondsail-deadline-ms").and_then(|ms| ms.parse().ok());
        Self {
            method: parts.method.to_string(),
            path: parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            key: text("idempotency-key").map(str::to_owned),
            digest: Digest::of(body),
            deadline: remaining.map(|ms| Instant::now() + Duration::from_millis(ms)),
        }
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline
            .map_or(NO_DEADLINE, |deadline| deadline.saturating_duration_since(Instant::now()))
    }
}
