//! The split of a route's calls between versions.

use crate::ids::VersionName;
use crate::units::PerMille;

/// The split of a route's calls between the stable version and a new one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSplit {
    /// The version that takes the calls that the new one does not.
    pub stable: VersionName,
    /// The new version and its share, while a rollout is open and the version not stopped here.
    pub canary: Option<(VersionName, PerMille)>,
}

impl TrafficSplit {
    /// The version for a call that drew `draw`, evenly distributed over 0 to 999.
    pub fn choose(&self, draw: u16) -> &VersionName {
        match &self.canary {
            Some((version, share)) if draw < share.get() => version,
            _ => &self.stable,
        }
    }
}
