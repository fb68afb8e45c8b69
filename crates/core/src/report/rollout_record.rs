//! The record of an ended rollout.

use crate::config::{Rollout, RolloutPhase};
use crate::ids::{ServiceName, TeamName, VersionName};
use crate::units::UnixMillis;

/// The way in which a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutEnd {
    /// The new version took all traffic by the deadline.
    InTime,
    /// The new version took all traffic after the deadline, or has not yet and the deadline passed.
    Late,
    /// The new version was rolled back.
    RolledBack {
        /// The number of calls that the new version ran; `None` if records are missing.
        new_version_calls: Option<u64>,
    },
}

/// Identifies a rollout by its service, its new version and its start.
pub type RolloutKey = (ServiceName, VersionName, UnixMillis);

/// The record of a team's rollout that ended or passed its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The team that owns the service.
    pub team: TeamName,
    /// The service whose traffic the rollout moved.
    pub service: ServiceName,
    /// The version to which the rollout moved traffic.
    pub version: VersionName,
    /// When an operator started the rollout.
    pub started: UnixMillis,
    /// When the rollout ended, or its deadline if it is still open.
    pub ended: UnixMillis,
    /// The way in which the rollout ended.
    pub end: RolloutEnd,
}

impl RolloutRecord {
    /// Returns the key that identifies the rollout.
    pub fn key(&self) -> RolloutKey {
        (self.service.clone(), self.version.clone(), self.started)
    }

    /// Returns the record of a `rollout` of `team`, or `None` if it is open and its deadline
    /// has not passed at `wall`.
    pub fn of(rollout: &Rollout, team: &TeamName, wall: UnixMillis) -> Option<Self> {
        let (ended, end) = match rollout.phase {
            RolloutPhase::RolledBack => {
                (rollout.changed, RolloutEnd::RolledBack { new_version_calls: None })
            }
            RolloutPhase::Completed if rollout.changed <= rollout.deadline => {
                (rollout.changed, RolloutEnd::InTime)
            }
            RolloutPhase::Completed => (rollout.changed, RolloutEnd::Late),
            _ if rollout.deadline < wall => (rollout.deadline, RolloutEnd::Late),
            _ => return None,
        };
        Some(Self {
            team: team.clone(),
            service: rollout.service.clone(),
            version: rollout.to.clone(),
            started: rollout.started,
            ended,
            end,
        })
    }
}
