//! What a member's report is made from.

use std::collections::BTreeSet;

use crate::ids::{MemberName, NodeId};
use crate::report::{Accounting, ChangeRecord, Minute, RolloutRecord};

/// What a member's report is made from.
#[derive(Debug, Clone, Copy)]
pub struct ReportInput<'a> {
    /// The members that share the cost.
    pub members: &'a BTreeSet<MemberName>,
    /// The nodes that were to record each minute of the period.
    pub nodes: &'a BTreeSet<NodeId>,
    /// The first minute of the period.
    pub from: Minute,
    /// The first minute after the period.
    pub to: Minute,
    /// The nodes' records.
    pub accounting: &'a Accounting,
    /// The rollouts of all members that ended in the period.
    pub rollouts: &'a [RolloutRecord],
    /// The changes of all members that were accepted in the period.
    pub changes: &'a [ChangeRecord],
}
