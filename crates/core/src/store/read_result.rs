//! Result of a read or watch of the configuration in the store.

use std::sync::Arc;

use crate::config::Config;
use crate::ids::ConfigVersion;

/// Result of a read or watch of the configuration in the store.
#[derive(Debug, Clone)]
pub enum ReadResult {
    /// The store holds nothing newer than this node.
    Nothing,
    /// The store holds a newer configuration, which should be put in force.
    Config(Arc<Config>),
    /// The reply has this version, and is older than what this node holds or has read.
    Stale(ConfigVersion),
    /// The stored value is not a valid configuration.
    Corrupt,
    /// The request failed or its reply was lost.
    Failed,
}
