//! The log: JSON lines, one for each change of state.

use std::fmt;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

use crate::settings::Identity;

/// How long the last lines may take.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A logger on standard error whose lines name the node.
pub fn logger(identity: &Identity) -> (Logger, LogEnd) {
    json_logger(std::io::stderr(), identity.id.as_str(), identity.data_centre.as_str())
}

/// A logger of a node of a fleet, on standard output.
pub(crate) fn fleet_logger(node: &str, data_centre: &str) -> (Logger, LogEnd) {
    json_logger(std::io::stdout(), node, data_centre)
}

/// A logger that writes on a thread of its own, so that no caller waits for the reader;
/// lines beyond its buffer are dropped and their number is logged.
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

/// Writes the last lines of a log when it is dropped. A reader that has stopped is waited for
/// only shortly, so that the process ends all the same.
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
            // Nobody waits any more if the time is over.
            let _ = flushed.send(());
        });
        let _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
    }
}
