//! Which versions of a service may take calls.

use crate::fleet::TrafficShift;
use crate::ids::VersionName;

/// Which versions of a service may take calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Every version may take calls.
    Any,
    /// Only this version may take calls.
    Only(VersionName),
    /// Every version except this one may take calls.
    Except(VersionName),
    /// A rollout moves calls to its new version step by step.
    Shift(TrafficShift),
}

impl VersionRule {
    /// Returns whether `version` may take a call. During a rollout, `to_new` says whether the call
    /// goes to the new version.
    pub fn allows(&self, version: &VersionName, to_new: bool) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
            Self::Shift(shift) => (version == &shift.target) == to_new,
        }
    }
}
