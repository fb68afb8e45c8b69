//! What a reply of the store brought.

use std::sync::Arc;

use crate::config::Config;
use crate::ids::ConfigVersion;

/// What a reply of the store brought.
#[derive(Debug, Clone)]
pub enum ReadResult {
    /// Nothing new.
    Nothing,
    /// A configuration to put in force.
    Config(Arc<Config>),
    /// An answer older than what this node holds.
    Stale(ConfigVersion),
    /// The value can't be read as a configuration.
    Corrupt,
    /// The store did not answer.
    Failed,
}
