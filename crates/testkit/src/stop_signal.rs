//! Waits for the signals that ask a process to stop.

use eyre::Result;
use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives SIGTERM or SIGINT.
pub async fn stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
