//! How a rollout ended.

use crate::ids::{MemberName, ServiceName, VersionName};
use crate::units::UnixMillis;

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutEnd {
    /// The new version took all traffic before the deadline.
    InTime,
    /// It did so after the deadline, or the deadline has passed.
    Late,
    /// The new version was rolled back.
    RolledBack {
        /// The calls that the new version got; `None` if reports of them are missing.
        touched: Option<u64>,
    },
}

/// How a rollout of a member ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The member.
    pub member: MemberName,
    /// The member's service.
    pub service: ServiceName,
    /// The new version.
    pub version: VersionName,
    /// When it ended, or when its deadline passed.
    pub ended: UnixMillis,
    /// How it ended.
    pub end: RolloutEnd,
}
