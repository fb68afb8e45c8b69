//! Earlier configuration versions, kept so that they can be restored.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::Config;
use crate::ids::ConfigVersion;

/// Maximum number of versions kept.
const MAX_KEPT_VERSIONS: usize = 16;

/// The last configuration versions that a node held, kept so that an operator can restore one
/// of them.
#[derive(Debug, Clone, Default)]
pub struct KeptVersions {
    /// Configurations in rising order of version, at most [`MAX_KEPT_VERSIONS`].
    kept: VecDeque<Arc<Config>>,
}

impl KeptVersions {
    /// Keeps `config` if it is newer than the last one kept, and drops the oldest if needed.
    pub fn keep(&mut self, config: &Arc<Config>) {
        if self.kept.back().is_some_and(|last| last.version >= config.version) {
            return;
        }
        if self.kept.len() == MAX_KEPT_VERSIONS {
            self.kept.pop_front();
        }
        self.kept.push_back(config.clone());
    }

    /// Returns the configuration with `version`, if it is kept.
    pub fn get(&self, version: ConfigVersion) -> Option<&Arc<Config>> {
        self.kept.iter().find(|config| config.version == version)
    }
}
