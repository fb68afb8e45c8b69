//! How a rollout ended.

use crate::config::{Rollout, RolloutPhase};
use crate::ids::{ServiceName, TeamName, VersionName};
use crate::units::UnixMillis;

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutEnd {
    /// The new version took all traffic before the deadline.
    InTime,
    /// It did so after the deadline, or the deadline has passed.
    Late,
    /// The new version was rolled back.
    RolledBack {
        /// The calls that the new version got; `None` if reports of them are missing.
        new_version_calls: Option<u64>,
    },
}

/// What identifies a rollout: its service, its new version and its start.
pub type RolloutKey = (ServiceName, VersionName, UnixMillis);

/// How a rollout of a team ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The team.
    pub team: TeamName,
    /// The team's service.
    pub service: ServiceName,
    /// The new version.
    pub version: VersionName,
    /// When it started.
    pub started: UnixMillis,
    /// When it ended, or when its deadline passed.
    pub ended: UnixMillis,
    /// How it ended.
    pub end: RolloutEnd,
}

impl RolloutRecord {
    /// What identifies the rollout.
    pub fn key(&self) -> RolloutKey {
        (self.service.clone(), self.version.clone(), self.started)
    }

    /// How `rollout` of `team` has ended; `None` if it goes on and its deadline
    /// is after `wall`.
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
