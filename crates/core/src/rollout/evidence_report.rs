//! What a node reports to the driver.

use crate::ids::{Incarnation, NodeId, RouteName, ServiceName, VersionName};
use crate::rollout::{CallStats, Window};

/// The calls that one cell of a report counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellLabel {
    /// When the calls ended, by the node's clock.
    pub window: Window,
    /// Their route.
    pub route: RouteName,
    /// The version that answered.
    pub version: VersionName,
}

/// What a node reports to the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The service of the backend server beside the node.
    pub service: ServiceName,
    /// The node.
    pub node: NodeId,
    /// The node's incarnation when it began to count: its counters start at zero with it.
    pub incarnation: Incarnation,
    /// Grows by one with each report of this incarnation.
    pub sequence: u64,
    /// The counters, each as it stands since the start of its window. Labels are unique.
    pub cells: Vec<(CellLabel, CallStats)>,
}
