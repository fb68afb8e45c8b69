//! What was observed of a version during a rollout.

use crate::fleet::VersionEvidence;

/// What one node, or several together, observed of a version during a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutEvidence {
    /// The calls since the order.
    pub all: VersionEvidence,
    /// Those of `all` that began while the new version got calls as well. Both versions met the
    /// same load in these, so a peak that slows both doesn't count against the new one alone. Empty
    /// for the new version, as it would equal `all`.
    pub concurrent: VersionEvidence,
}

impl RolloutEvidence {
    /// Adds what another node observed.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.concurrent.add(&other.concurrent);
    }
}
