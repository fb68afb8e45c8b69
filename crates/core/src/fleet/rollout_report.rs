//! The report of a node to others on a rollout.

use crate::fleet::{RolloutEvidence, RolloutOrder, RolloutOutcome};
use crate::ids::{ServiceName, VersionName};
use crate::store::{Revision, StoreEra, StorePosition};
use crate::units::Millis;

/// The state of a rollout that a node reports to others in heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutReport {
    /// The service whose calls are moved.
    pub service: ServiceName,
    /// The new version that the order names.
    pub target: VersionName,
    /// The revision of the order in the store.
    pub order: Revision,
    /// The era of the store in which it gave out the revision; `None` if the sender doesn't tell.
    pub order_era: Option<StoreEra>,
    /// The time that the order allows for the rollout.
    pub duration: Millis,
    /// The time since the order, by the sender's monotonic clock.
    pub elapsed: Millis,
    /// Whether the sender knows that the new version was found bad.
    pub is_stopped: bool,
    /// How the rollout ended; `None` while it runs.
    pub outcome: Option<RolloutOutcome>,
    /// The calls that the sender observed; `None` unless the backend server beside it is of the
    /// service.
    pub evidence: Option<RolloutEvidence>,
}

impl RolloutReport {
    /// Returns the order that the report names, which is of `era` if the sender doesn't tell.
    pub fn to_order(&self, era: StoreEra) -> RolloutOrder {
        RolloutOrder {
            service: self.service.clone(),
            target: self.target.clone(),
            duration: self.duration,
            position: StorePosition::new(self.order_era.unwrap_or(era), self.order),
        }
    }
}
