//! The requirements of a call on a backend server.

use crate::ids::RouteName;
use crate::units::{Instant, Millis};

/// The requirements of a call on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequirements {
    /// The route, by which the time of the call is estimated.
    pub route: RouteName,
    /// The route's rank; 0 is the most urgent.
    pub priority: u8,
    /// The time within which an answer has its full worth, from the caller's request on.
    pub target: Instant,
    /// After this the caller has no use for an answer.
    pub deadline: Instant,
    /// The route's target latency, the first guess at the time of a call.
    pub target_latency: Millis,
}
