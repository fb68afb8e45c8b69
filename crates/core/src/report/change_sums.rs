//! How long a change took on the nodes of a data centre.

use crate::ids::TeamName;
use crate::units::{Millis, UnixMillis};

/// How long a change took to be in force on the nodes of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeSums {
    /// The team whose service it changed; `None` if it may concern every team.
    pub team: Option<TeamName>,
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// The nodes on which it was in force. Each node counts itself once.
    pub nodes: u64,
    /// The nodes that were alive when the first of them was heard of; the
    /// longest time is known only if `nodes` is not below it.
    pub expected: u64,
    /// The longest time until it was in force, between the clocks of two hosts.
    pub longest: Millis,
}

impl ChangeSums {
    /// Adds what other nodes saw of the same change.
    pub fn add(&mut self, other: &Self) {
        self.nodes = self.nodes.saturating_add(other.nodes);
        self.expected = self.expected.max(other.expected);
        self.longest = self.longest.max(other.longest);
    }

    /// Whether every expected node has told its time.
    pub const fn is_complete(&self) -> bool {
        self.expected > 0 && self.nodes >= self.expected
    }
}
