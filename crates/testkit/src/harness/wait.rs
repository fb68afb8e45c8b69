//! Polls until a condition holds.

use std::future::Future;
use std::time::{Duration, Instant};

use eyre::{Report, Result};

/// The longest time to wait for a condition; generous, so that tests also pass on
/// a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between two attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Repeats `attempt` until it succeeds and returns its result.
///
/// After [`WAIT_TIMEOUT`] the error names `what` and the error of the last attempt.
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
            return Err(error.wrap_err(format!("{what}: no success within {WAIT_TIMEOUT:?}")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
