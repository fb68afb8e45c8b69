//! The order to move a service to a version.

use crate::ids::{ServiceName, VersionName};
use crate::store::Revision;
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
    /// The revision of the order in the store; a later order replaces an earlier one.
    pub revision: Revision,
}
