//! The rollout of a new version of a service.

use std::sync::Arc;

use crate::config::RolloutPhase;
use crate::ids::{ServiceName, VersionName};
use crate::units::{PerMille, UnixMillis};

/// The gradual move of a service's traffic from one version to another by a deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service whose traffic moves. It exists and has at most one rollout.
    pub service: ServiceName,
    /// The old version, which loses traffic. It exists.
    pub from: VersionName,
    /// The new version, which gains traffic. It exists and differs from `from`.
    pub to: VersionName,
    /// When an operator started the rollout.
    pub started: UnixMillis,
    /// When `to` must have taken over all traffic. Later than `started`.
    pub deadline: UnixMillis,
    /// The phase, set by operators' commands and by the rollout driver.
    pub phase: RolloutPhase,
    /// The share of idempotent calls that `to` receives.
    pub share: PerMille,
    /// The share of non-idempotent calls that `to` receives; at most `share`.
    pub non_idempotent_share: PerMille,
    /// When the phase or one of the shares last changed.
    pub changed: UnixMillis,
    /// The reason for the last change of phase or share, in one sentence without line breaks.
    pub reason: Arc<str>,
}
