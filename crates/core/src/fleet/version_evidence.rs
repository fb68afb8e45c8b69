//! What a node observed of the version beside it.

use std::collections::BTreeMap;

use crate::fleet::{RouteEvidence, RouteKey};

/// What one node, or several together, observed of a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionEvidence {
    /// The evidence by route.
    pub routes: BTreeMap<RouteKey, RouteEvidence>,
}

impl VersionEvidence {
    /// Adds what another node observed.
    pub fn add(&mut self, other: &Self) {
        for (route, evidence) in &other.routes {
            self.routes.entry(*route).or_default().add(evidence);
        }
    }

    /// The number of calls.
    pub fn calls(&self) -> u32 {
        self.routes.values().map(RouteEvidence::calls).sum()
    }

    /// The number of failures.
    pub fn failures(&self) -> u32 {
        self.routes.values().map(|route| route.failures).sum()
    }
}
