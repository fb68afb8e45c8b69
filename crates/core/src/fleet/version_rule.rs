//! Which versions of a service may take calls.

use crate::fleet::TrafficShift;
use crate::ids::VersionName;

/// Which versions of a service may take calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Every version.
    Any,
    /// Only this one.
    Only(VersionName),
    /// Every version but this one.
    Except(VersionName),
    /// A rollout is under way.
    Shift(TrafficShift),
}

impl VersionRule {
    /// Whether `version` may take a call that the rollout sends to its new version or not.
    pub fn allows(&self, version: &VersionName, to_new: bool) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
            Self::Shift(shift) => (version == &shift.target) == to_new,
        }
    }
}
