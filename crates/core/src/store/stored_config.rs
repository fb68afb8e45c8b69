//! The value of the configuration's key.

use std::sync::Arc;

use crate::config::Config;
use crate::store::Revision;

/// The value of the configuration's key.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// The value's revision.
    pub revision: Revision,
    /// The configuration; `None` while nothing was ever written.
    pub config: Option<Arc<Config>>,
}
