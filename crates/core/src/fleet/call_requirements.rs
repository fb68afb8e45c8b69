//! The priority and time limits by which a call is queued.

use crate::fleet::CallRank;
use crate::ids::{RouteName, TeamName};
use crate::units::{Instant, Millis};

/// The priority and time limits by which a backend server's queue handles a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequirements {
    /// The route of the call, by which its run time is estimated.
    pub route: RouteName,
    /// The rank of the call among those that wait for the same server.
    pub rank: CallRank,
    /// The team that the call belongs to; `None` without one.
    pub team: Option<TeamName>,
    /// The instant until which an answer has its full value, counted from the caller's request on.
    pub target: Instant,
    /// The instant after which the caller has no use for an answer.
    pub deadline: Instant,
    /// The target latency of the route, which limits how long a call may wait.
    pub target_latency: Millis,
}
