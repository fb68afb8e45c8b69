//! The accounting record of a node for one minute.

use crate::ids::NodeId;
use crate::report::{Minute, Sums};

/// The calls, costs and changes that a node counted in one minute.
///
/// A running node sends a record for every minute, even one without calls, so that
/// a missing record is a gap. It sends each record only once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountingRecord {
    /// The id of the node that counted.
    pub node: NodeId,
    /// The minute that the record covers, by the node's wall clock.
    pub minute: Minute,
    /// Whether the process ran from the start of the minute. If not, counts of an
    /// earlier process of the node may be lost, so the record is incomplete.
    pub covers_minute: bool,
    /// The sums of what the node counted in the minute.
    pub sums: Sums,
}
