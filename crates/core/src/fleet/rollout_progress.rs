//! The progress of a rollout in the store.

use crate::fleet::{RolloutOrder, RolloutOutcome};
use crate::ids::{ServiceName, VersionName};
use crate::store::StorePosition;
use crate::units::{Millis, UnixMillis};

/// The progress of a rollout, which the store keeps beyond the life of any process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The service whose calls are moved.
    pub service: ServiceName,
    /// The new version that the order names.
    pub target: VersionName,
    /// The position of the order in the store.
    pub order: StorePosition,
    /// The time that the order allows for the rollout.
    pub duration: Millis,
    /// When the rollout began, by the time of day of the node that wrote the progress.
    pub started: UnixMillis,
    /// How the rollout ended; `None` while it runs.
    pub outcome: Option<RolloutOutcome>,
}

impl RolloutProgress {
    /// Returns the order that the progress names.
    pub fn to_order(&self) -> RolloutOrder {
        RolloutOrder {
            service: self.service.clone(),
            target: self.target.clone(),
            duration: self.duration,
            position: self.order,
        }
    }
}
