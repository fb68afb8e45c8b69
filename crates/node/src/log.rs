//! The log, written as JSON lines.

use std::fmt;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

use crate::settings::Identity;

/// Time limit for writing buffered records when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Creates a logger on standard error whose records carry the node's id and data centre.
/// Buffered records are written when the returned guard is dropped.
pub fn logger(identity: &Identity) -> (Logger, LogEnd) {
    json_logger(std::io::stderr(), identity.id.as_str(), identity.data_centre.as_str())
}

/// Creates the logger of a fleet node, which writes to standard output.
pub(crate) fn fleet_logger(node: &str, data_centre: &str) -> (Logger, LogEnd) {
    json_logger(std::io::stdout(), node, data_centre)
}

/// Creates a logger that writes on its own thread, so that a slow reader of the log never blocks
/// the node. Records that overflow its buffer are dropped, and their number is logged.
fn json_logger(
    out: impl Write + Send + 'static,
    node: &str,
    data_centre: &str,
) -> (Logger, LogEnd) {
    let json = slog_json::Json::new(out).add_default_keys().build().fuse();
    let (drain, guard) = slog_async::Async::new(json).build_with_guard();
    let names = o!("node" => node.to_owned(), "data_centre" => data_centre.to_owned());
    (Logger::root(drain.fuse(), names), LogEnd(Some(guard)))
}

/// Guard that writes the buffered records of a log when it is dropped. Waits at most 300 ms, so
/// that the process ends even if the reader of the log has stopped.
pub struct LogEnd(Option<AsyncGuard>);

impl fmt::Debug for LogEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogEnd").finish_non_exhaustive()
    }
}

impl Drop for LogEnd {
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (flushed, flush_done) = mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            // Sending fails if the time limit has passed.
            let _ = flushed.send(());
        });
        let _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
    }
}
