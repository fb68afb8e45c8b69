//! The difference between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Config, ConfigContent, HistoryEntry, MAX_HISTORY_ENTRIES};
use crate::config::{DeltaError, Edit};
use crate::ids::{ConfigVersion, Digest, WriteId};

/// The difference between two configurations, with the digests of both.
///
/// The digests let the receiver detect a wrong base or a wrong result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The digest of the configuration that the delta applies to.
    pub base: Digest,
    /// The digest of the resulting configuration.
    pub result: Digest,
    /// The version of the resulting configuration.
    pub version: ConfigVersion,
    /// The id of the store write that created the resulting version.
    pub write_id: WriteId,
    /// The edits that turn the base's content into the result's.
    pub edits: Vec<Edit>,
    /// The history entries that are newer than the base's, oldest first.
    pub history: Vec<HistoryEntry>,
}

impl Delta {
    /// Returns the delta that turns `base` into `result`.
    pub fn between(base: &Config, result: &Config) -> Self {
        let mut edits = Vec::new();
        diff_contents(&base.content, &result.content, &mut edits);
        let known = base.history.last().map(|entry| entry.version).unwrap_or_default();
        let history =
            result.history.iter().filter(|entry| entry.version > known).cloned().collect();
        Self {
            base: base.digest(),
            result: result.digest(),
            version: result.version,
            write_id: result.write_id,
            edits,
            history,
        }
    }

    /// Applies this delta to `base` and returns the resulting configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError`] if the digest of `base` or of the result is not the stated one.
    pub fn apply(&self, base: &Config) -> Result<Config, DeltaError> {
        if base.digest() != self.base {
            return Err(DeltaError::WrongBase);
        }
        let mut content = base.content.clone();
        for edit in &self.edits {
            edit.apply(&mut content);
        }
        let mut history = base.history.clone();
        history.extend(self.history.iter().cloned());
        history.drain(..history.len().saturating_sub(MAX_HISTORY_ENTRIES));
        let result = Config { version: self.version, write_id: self.write_id, content, history };
        if result.digest() == self.result { Ok(result) } else { Err(DeltaError::WrongResult) }
    }
}

fn diff_contents(base: &ConfigContent, result: &ConfigContent, edits: &mut Vec<Edit>) {
    diff_maps(&base.services, &result.services, Edit::PutService, Edit::RemoveService, edits);
    diff_maps(&base.routes, &result.routes, Edit::PutRoute, Edit::RemoveRoute, edits);
    diff_sets(&base.versions, &result.versions, Edit::PutVersion, Edit::RemoveVersion, edits);
    diff_maps(&base.rollouts, &result.rollouts, Edit::PutRollout, Edit::RemoveRollout, edits);
    diff_sets(&base.stops, &result.stops, Edit::PutStop, Edit::RemoveStop, edits);
}

fn diff_maps<K: Ord + Clone, V: PartialEq + Clone>(
    base: &BTreeMap<K, V>,
    result: &BTreeMap<K, V>,
    put: impl Fn(V) -> Edit,
    remove: impl Fn(K) -> Edit,
    edits: &mut Vec<Edit>,
) {
    let changed = result.iter().filter(|(key, value)| base.get(key) != Some(value));
    edits.extend(changed.map(|(_, value)| put(value.clone())));
    let removed = base.keys().filter(|key| !result.contains_key(key));
    edits.extend(removed.cloned().map(remove));
}

fn diff_sets<T: Ord + Clone>(
    base: &BTreeSet<T>,
    result: &BTreeSet<T>,
    put: impl Fn(T) -> Edit,
    remove: impl Fn(T) -> Edit,
    edits: &mut Vec<Edit>,
) {
    edits.extend(result.difference(base).cloned().map(put));
    edits.extend(base.difference(result).cloned().map(remove));
}
