//! The propagation time of a change in a data centre.

use crate::ids::TeamName;
use crate::units::{Millis, UnixMillis};

/// The time that a configuration change took to be in force on the nodes of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeSums {
    /// The team whose service was changed; `None` if the change may concern every team.
    pub team: Option<TeamName>,
    /// When the change was accepted, by the clock of the node that wrote it.
    pub accepted: UnixMillis,
    /// The number of nodes that reported the change in force. Each node counts itself once.
    pub nodes: u64,
    /// The number of nodes that were alive when a report arrived, the highest if they differ.
    /// `longest` is final only if `nodes` has reached it. Zero until the collector sets it.
    pub expected: u64,
    /// The longest time from acceptance until the change was in force on a node. It is measured
    /// between the clocks of two hosts.
    pub longest: Millis,
}

impl ChangeSums {
    /// Adds the reports of other nodes on the same change.
    pub fn add(&mut self, other: &Self) {
        self.nodes = self.nodes.saturating_add(other.nodes);
        self.expected = self.expected.max(other.expected);
        self.longest = self.longest.max(other.longest);
    }

    /// Returns whether every expected node has reported the change in force.
    pub const fn is_complete(&self) -> bool {
        self.expected > 0 && self.nodes >= self.expected
    }
}
