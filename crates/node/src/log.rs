//! The log: JSON lines, one for each change of state.

use std::io::Write;

use slog::{Drain, Logger, o};

use crate::settings::Identity;

/// A logger on standard error whose lines name the node.
pub fn logger(identity: &Identity) -> Logger {
    json_logger(std::io::stderr(), identity.id.as_str(), identity.data_centre.as_str())
}

/// A logger of a node of a fleet, on standard output.
pub(crate) fn fleet_logger(node: &str, data_centre: &str) -> Logger {
    json_logger(std::io::stdout(), node, data_centre)
}

/// A logger that writes on a thread of its own, so that no caller waits for the reader;
/// lines beyond its buffer are dropped and their number is logged.
fn json_logger(out: impl Write + Send + 'static, node: &str, data_centre: &str) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build().fuse();
    let drain = slog_async::Async::new(json).build().fuse();
    Logger::root(drain, o!("node" => node.to_owned(), "data_centre" => data_centre.to_owned()))
}
