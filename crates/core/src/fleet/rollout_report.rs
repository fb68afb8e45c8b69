//! What a node tells others of a rollout.

use crate::fleet::{RolloutOutcome, VersionEvidence};
use crate::ids::{ServiceName, VersionName};
use crate::store::Revision;
use crate::units::Millis;

/// What a node tells others of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The version that the order names.
    pub target: VersionName,
    /// The revision of the order.
    pub order: Revision,
    /// The time that the order allows.
    pub duration: Millis,
    /// The time since the order, by the node's own steady clock.
    pub elapsed: Millis,
    /// Whether the new version was found bad.
    pub is_stopped: bool,
    /// How the rollout ended, if it has.
    pub outcome: Option<RolloutOutcome>,
    /// What the node observed, if the backend server beside it is of this service.
    pub evidence: Option<VersionEvidence>,
}
