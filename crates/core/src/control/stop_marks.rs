//! Stop marks that are not part of a configuration yet.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Change, Config, ServerVersion, StopMark};
use crate::control::stop_origin::StopOrigin;
use crate::ids::{ConfigVersion, ServiceName};
use crate::peers::hash::hash_text;

/// Maximum number of stop marks, the same as in a configuration.
const MAX_MARKS: usize = 1_024;

/// Stop marks that are in force and not part of a configuration yet.
///
/// A mark is removed when a configuration holds it, or when an operator cleared it in a
/// configuration: it must not stay in force after that.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopMarks {
    marks: BTreeSet<StopMark>,
    /// Origin of each mark. Has the same keys as `marks`.
    origins: BTreeMap<StopMark, StopOrigin>,
    /// XOR of the hashes of the marks.
    digest: u64,
}

impl StopMarks {
    pub(crate) const fn marks(&self) -> &BTreeSet<StopMark> {
        &self.marks
    }

    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Adds `marks` except those that `config` resolved already. Returns the new ones.
    pub(crate) fn add(
        &mut self,
        marks: Vec<StopMark>,
        origin: &StopOrigin,
        config: Option<&Config>,
    ) -> Vec<StopMark> {
        let mut new = Vec::new();
        for mark in marks {
            let is_resolved =
                config.is_some_and(|cfg| is_resolved(&mark, origin.config_version, cfg));
            if !is_resolved && self.marks.len() < MAX_MARKS && self.marks.insert(mark.clone()) {
                self.digest ^= hash_text(&mark.to_string());
                self.origins.insert(mark.clone(), origin.clone());
                new.push(mark);
            }
        }
        new
    }

    /// Removes the marks that `config` resolved. Returns whether there were any.
    pub(crate) fn remove_resolved(&mut self, config: &Config) -> bool {
        let is_resolved_mark = |(mark, origin): &(&StopMark, &StopOrigin)| {
            is_resolved(mark, origin.config_version, config)
        };
        let resolved: Vec<StopMark> =
            self.origins.iter().filter(is_resolved_mark).map(|(mark, _)| mark.clone()).collect();
        for mark in &resolved {
            self.marks.remove(mark);
            self.origins.remove(mark);
            self.digest ^= hash_text(&mark.to_string());
        }
        !resolved.is_empty()
    }

    /// Returns the marks, grouped by origin.
    pub(crate) fn groups(&self) -> Vec<(Vec<StopMark>, StopOrigin)> {
        self.group_by(|_| None)
    }

    /// Returns the marks, grouped by origin and service.
    pub(crate) fn groups_by_service(&self) -> Vec<(Vec<StopMark>, StopOrigin)> {
        self.group_by(|mark| Some(mark.service.clone()))
    }

    fn group_by(
        &self,
        key: impl Fn(&StopMark) -> Option<ServiceName>,
    ) -> Vec<(Vec<StopMark>, StopOrigin)> {
        let mut groups: BTreeMap<_, (Vec<StopMark>, StopOrigin)> = BTreeMap::new();
        for (mark, origin) in &self.origins {
            let key = (key(mark), origin.config_version, origin.reason.clone());
            let group = groups.entry(key).or_insert_with(|| (Vec::new(), origin.clone()));
            group.0.push(mark.clone());
            group.1.received = group.1.received.min(origin.received);
        }
        groups.into_values().collect()
    }
}

/// Returns whether `config` holds `mark`, cleared it after it was set, or no longer has the
/// version or route that it stops.
fn is_resolved(mark: &StopMark, config_version: ConfigVersion, config: &Config) -> bool {
    let version = ServerVersion { service: mark.service.clone(), version: mark.version.clone() };
    let content = &config.content;
    if config.version < config_version {
        return false;
    }
    if content.stops.contains(mark) {
        return true;
    }
    let has_route = mark.route.as_ref().is_none_or(|route| content.routes.contains_key(route));
    let is_gone = !content.versions.contains(&version) || !has_route;
    // A mark set without a configuration may stop a version that is newer than `config`.
    if is_gone && config_version > ConfigVersion::default() {
        return true;
    }
    // The history describes each change by the text of its command.
    let cleared = [
        Change::ClearStop(version.clone()).to_string(),
        Change::RemoveVersion(version).to_string(),
    ];
    let later = config.history.iter().rev().take_while(|entry| entry.version > config_version);
    later.into_iter().any(|entry| cleared.iter().any(|text| **text == *entry.summary))
}
