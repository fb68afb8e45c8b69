//! Waits for conditions.

use std::future::Future;
use std::time::{Duration, Instant};

use eyre::{Report, Result};

/// How long a condition may take to hold, far above what it needs, so that a
/// busy machine fails no test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// How long to wait between two attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Tries `attempt` until it succeeds and returns its result.
///
/// The error after [`WAIT_TIMEOUT`] names `what` and the last attempt's error.
pub async fn wait_until<T, F>(what: &str, mut attempt: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let started = Instant::now();
    loop {
        let error: Report = match attempt().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(error.wrap_err(format!("{what}: not within {WAIT_TIMEOUT:?}")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
