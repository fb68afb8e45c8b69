//! What a node counted within a minute.

use crate::ids::NodeId;
use crate::report::{Minute, Sums};

/// What a node counted within a minute.
///
/// A node records each minute in which it runs, also one without calls, so that
/// a minute without a record is a gap. It sends a record once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountingRecord {
    /// The node.
    pub node: NodeId,
    /// The minute, by the node's clock.
    pub minute: Minute,
    /// Whether the process ran from the minute's start. Otherwise the counts of
    /// an earlier process of the node may be missing, so the record is incomplete.
    pub covers_minute: bool,
    /// What the node counted.
    pub sums: Sums,
}
