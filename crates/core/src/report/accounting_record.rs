//! What a node counted within a minute.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, MemberName, NodeId};
use crate::report::{CallCounts, Cost, Minute};

/// What a node counted within a minute.
///
/// A node records each minute in which it runs, also one without calls, so that
/// a minute without a record is a gap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountingRecord {
    /// The node.
    pub node: NodeId,
    /// The node's incarnation when it began to count: its counters start at zero with it.
    pub incarnation: Incarnation,
    /// The minute, by the node's clock.
    pub minute: Minute,
    /// What the node itself cost.
    pub cost: Cost,
    /// The calls of each member that entered the mesh at this node.
    pub members: BTreeMap<MemberName, CallCounts>,
}
