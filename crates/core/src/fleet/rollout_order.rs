//! The order to move a service to a version.

use crate::ids::{ServiceName, VersionName};
use crate::store::StorePosition;
use crate::units::Millis;

/// The operator's order to move a service's calls to a version within a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service whose calls are moved.
    pub service: ServiceName,
    /// The version that is to take all calls.
    pub target: VersionName,
    /// The time within which the move must be complete.
    pub duration: Millis,
    /// The position of the order in the store; a later order replaces an earlier one.
    pub position: StorePosition,
}

impl RolloutOrder {
    /// Returns whether `other` asks for the same move, in the same order or another one.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}
