//! Counts of a version's calls on all routes in a part of a rollout.

use crate::fleet::RouteEvidence;

/// Counts the calls of a version on all routes that began in a part of a rollout.
///
/// Both versions meet the same load and about the same mix of routes within a window, so they can be
/// compared there although no route has enough calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceWindow {
    /// All calls that began in the window.
    pub all: RouteEvidence,
    /// Those of `all` that began while the new version got calls as well; empty for the new version.
    pub concurrent: RouteEvidence,
}

impl EvidenceWindow {
    /// The largest number of windows of a rollout.
    pub const MAX_WINDOWS: usize = 16;

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.concurrent.add(&other.concurrent);
    }
}
