//! The call counts that a node reports to the driver of a rollout.

use crate::ids::{Incarnation, NodeId, RouteName, ServiceName, VersionName};
use crate::rollout::{CallStats, Window};

/// Identifies which calls one cell of a report counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellLabel {
    /// The window in which the calls ended, by the clock of the reporting node.
    pub window: Window,
    /// The route that the calls matched.
    pub route: RouteName,
    /// The version of the backend server that the calls were for.
    pub version: VersionName,
}

/// The call counts that a node reports to the driver of its service's rollouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The service of the backend server beside the node.
    pub service: ServiceName,
    /// The node that counted the calls.
    pub node: NodeId,
    /// The incarnation of the node when it began to count; each incarnation counts from zero.
    pub incarnation: Incarnation,
    /// The number of this report, which grows by one with each report of an incarnation.
    pub sequence: u64,
    /// The counters, each with all calls since the start of its window. Labels are unique.
    pub cells: Vec<(CellLabel, CallStats)>,
}
