//! A rollout.

use std::sync::Arc;

use crate::config::RolloutPhase;
use crate::ids::{ServiceName, VersionName};
use crate::units::{PerMille, UnixMillis};

/// The move of a service's traffic from one version to another by a deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service. It exists; it has one rollout at most.
    pub service: ServiceName,
    /// The version that loses traffic. It exists.
    pub from: VersionName,
    /// The version that gains traffic. It exists and differs from `from`.
    pub to: VersionName,
    /// When the operator created the rollout.
    pub started: UnixMillis,
    /// When `to` is to take all traffic. Later than `started`.
    pub deadline: UnixMillis,
    /// How far the rollout has come.
    pub phase: RolloutPhase,
    /// The share of `to` among idempotent calls.
    pub share: PerMille,
    /// The share of `to` among non-idempotent calls; at most `share`.
    pub non_idempotent_share: PerMille,
    /// When the phase or a share last changed.
    pub changed: UnixMillis,
    /// Why it last changed, in one sentence without line breaks.
    pub reason: Arc<str>,
}
