//! The judge's finding on one route.

use crate::ids::RouteName;
use crate::rollout::{BadCalls, RouteVerdict};

/// The judge's finding on the new version on one route, with the counts behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteFinding {
    /// The route whose calls were compared.
    pub route: RouteName,
    /// Whether the calls of the route are idempotent.
    pub is_idempotent: bool,
    /// Whether the new version is worse on this route, as far as the evidence shows.
    pub verdict: RouteVerdict,
    /// Whether the evidence against the new version has reached the warning limit, which is lower
    /// than the limit for [`RouteVerdict::Worse`].
    pub has_warning: bool,
    /// The number of calls of the new version compared with the old one since the rollout began.
    pub judged_calls: u64,
    /// The number of calls of the new version judged since the last step.
    pub step_calls: u64,
    /// The number of calls of the old version judged since the last step.
    pub old_step_calls: u64,
    /// The counts of the new version in the test with the strongest evidence.
    pub new: BadCalls,
    /// The counts of the old version in the same test as `new`.
    pub old: BadCalls,
}
