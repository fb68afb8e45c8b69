//! Counts of a version's calls, as evidence in a rollout.

use std::collections::BTreeMap;

use crate::fleet::{RouteEvidence, RouteKey};

/// Counts the calls of a version that one node, or several together, observed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionEvidence {
    /// The counts of calls by route.
    pub routes: BTreeMap<RouteKey, RouteEvidence>,
}

impl VersionEvidence {
    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        for (route, evidence) in &other.routes {
            self.routes.entry(*route).or_default().add(evidence);
        }
    }

    /// Returns the number of answered and failed calls on all routes.
    pub fn calls(&self) -> u64 {
        self.routes.values().map(RouteEvidence::calls).sum()
    }

    /// Returns the number of failed calls on all routes.
    pub fn failures(&self) -> u64 {
        self.routes.values().map(|route| u64::from(route.failures)).sum()
    }
}
