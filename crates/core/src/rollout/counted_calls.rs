//! Calls that were counted together.

use crate::ids::{RouteName, ServiceName, VersionName};
use crate::rollout::CallOutcome;
use crate::units::Micros;

/// Where calls were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountedAt {
    /// At the node that the caller chose.
    Entry,
    /// At the node beside the backend server.
    Backend,
}

/// Calls of one version on one route that ended alike in the last second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedCalls {
    /// Where they were counted.
    pub at: CountedAt,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The version that they were sent to.
    pub version: VersionName,
    /// How they ended.
    pub outcome: CallOutcome,
    /// How long they took at most; zero where no answer came.
    pub latency: Micros,
    /// How many there are.
    pub calls: u32,
}
