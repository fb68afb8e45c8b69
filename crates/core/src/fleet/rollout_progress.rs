//! How far a rollout is, as the store remembers it.

use crate::fleet::RolloutOutcome;
use crate::ids::{ServiceName, VersionName};
use crate::store::Revision;
use crate::units::{Millis, UnixMillis};

/// How far a rollout is, as the store remembers it beyond the life of any process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The service.
    pub service: ServiceName,
    /// The version that the order names.
    pub target: VersionName,
    /// The revision of the order.
    pub order: Revision,
    /// The time that the order allows.
    pub duration: Millis,
    /// When it began, by the time of day of the node that wrote this.
    pub started: UnixMillis,
    /// How it ended, if it has.
    pub outcome: Option<RolloutOutcome>,
}
