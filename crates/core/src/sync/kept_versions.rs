//! Earlier configuration versions, kept to be restored.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::Config;
use crate::ids::ConfigVersion;

/// Number of versions that are kept.
const MAX_KEPT_VERSIONS: usize = 16;

/// The last configuration versions that a node held, kept so that an operator
/// can return to one of them.
#[derive(Debug, Clone, Default)]
pub struct KeptVersions {
    /// Oldest first, at most [`MAX_KEPT`], with rising versions.
    kept: VecDeque<Arc<Config>>,
}

impl KeptVersions {
    /// Keeps `config` unless it is not newer than the last one kept.
    pub fn keep(&mut self, config: &Arc<Config>) {
        if self.kept.back().is_some_and(|last| last.version >= config.version) {
            return;
        }
        if self.kept.len() == MAX_KEPT_VERSIONS {
            self.kept.pop_front();
        }
        self.kept.push_back(config.clone());
    }

    /// The configuration of `version`, if it is kept.
    pub fn get(&self, version: ConfigVersion) -> Option<&Arc<Config>> {
        self.kept.iter().find(|config| config.version == version)
    }
}
