//! The log: JSON lines on standard error, one for each change of state.

use slog::{Drain, Logger, o};

use crate::settings::Identity;

/// A logger whose lines name the node. It writes on a thread of its own, so
/// that no caller waits for the terminal; lines beyond its buffer are dropped
/// and their number is logged.
pub fn logger(identity: &Identity) -> Logger {
    let json = slog_json::Json::new(std::io::stderr()).add_default_keys().build().fuse();
    let drain = slog_async::Async::new(json).build().fuse();
    let (node, data_centre) = (identity.id.to_string(), identity.data_centre.to_string());
    Logger::root(drain, o!("node" => node, "data_centre" => data_centre))
}
