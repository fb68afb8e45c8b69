//! A count of calls with equal outcome, and the node that counted them.

use crate::ids::{RouteName, ServiceName, VersionName};
use crate::rollout::CallOutcome;
use crate::units::Micros;

/// The role of the node that counted calls. Each call may be counted once in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountingRole {
    /// The entry node, which the caller sent the call to.
    Entry,
    /// The node beside the backend server that ran the call.
    Backend,
}

/// The calls of one version on one route that ended with the same outcome in the last second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedCalls {
    /// The role of the node that counted the calls.
    pub at: CountingRole,
    /// The service that was called.
    pub service: ServiceName,
    /// The route that the calls matched.
    pub route: RouteName,
    /// The version of the backend servers that the calls were sent to.
    pub version: VersionName,
    /// The outcome that all of the calls share.
    pub outcome: CallOutcome,
    /// The longest time that one of the calls took; zero if no answer came.
    pub latency: Micros,
    /// The number of calls counted.
    pub calls: u32,
}
