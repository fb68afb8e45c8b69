//! The split of a route's calls between versions.

use crate::ids::VersionName;
use crate::units::PerMille;

/// The split of a route's calls between the stable version and a new one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSplit {
    /// The version that takes all calls that the new version doesn't.
    pub stable: VersionName,
    /// The new version and its share, while its rollout is open and it isn't stopped on the route.
    pub canary: Option<(VersionName, PerMille)>,
}

impl TrafficSplit {
    /// Returns the version for a call, given a random number from 0 to 999.
    pub fn choose(&self, draw: u16) -> &VersionName {
        match &self.canary {
            Some((version, share)) if draw < share.get() => version,
            _ => &self.stable,
        }
    }
}
