//! The configuration as the store holds it.

use std::sync::Arc;

use crate::config::Config;
use crate::store::Revision;

/// The configuration as the store holds it.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// Revision of the stored configuration; zero while there is none.
    pub revision: Revision,
    /// Stored configuration; `None` if none was ever written.
    pub config: Option<Arc<Config>>,
}
