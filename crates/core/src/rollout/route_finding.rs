//! What the judge found on one route.

use crate::ids::RouteName;
use crate::rollout::{BadCalls, RouteVerdict};

/// What the judge found on one route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteFinding {
    /// The route.
    pub route: RouteName,
    /// Whether its calls are idempotent.
    pub is_idempotent: bool,
    /// The verdict.
    pub verdict: RouteVerdict,
    /// Whether there is some evidence against the new version, yet too little to blame it.
    pub has_warning: bool,
    /// The calls of the new version compared with the old one since the rollout began.
    pub judged_calls: u64,
    /// The calls of the new version judged since the last step.
    pub step_calls: u64,
    /// The calls of the old version seen since the last step.
    pub old_step_calls: u64,
    /// The new version's calls, counted for the symptom that stands out most.
    pub new: BadCalls,
    /// The old version's calls, counted for the same symptom.
    pub old: BadCalls,
}
