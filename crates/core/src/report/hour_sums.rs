//! The sums of one data centre and hour.

use std::collections::BTreeMap;

use crate::report::{Minute, Sums};

/// The numbers of expected and received records of one minute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeMinutes {
    /// The number of nodes that had to send a record; zero if no collector knew.
    pub expected: u64,
    /// The number of nodes that sent a record of the whole minute. A partial record,
    /// the first of a process, is added to the sums but not counted here: the counts
    /// of an earlier process of the node in the same minute may be lost.
    pub received: u64,
}

impl NodeMinutes {
    /// Returns the number of missing records.
    pub const fn missing(self) -> u64 {
        self.expected.saturating_sub(self.received)
    }
}

/// The sums of one data centre and hour, or a part of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HourSums {
    /// The minutes for which a collector knew the expected nodes or received records.
    /// All records of an absent minute are missing.
    pub minutes: BTreeMap<Minute, NodeMinutes>,
    /// The sums over all received records, including partial ones.
    pub sums: Sums,
}

impl HourSums {
    /// Adds another part of the same hour. Two collectors may expect the same nodes, so the
    /// higher number counts. Received records are added, since each is in one part only.
    pub fn add(&mut self, other: &Self) {
        for (minute, nodes) in &other.minutes {
            let entry = self.minutes.entry(*minute).or_default();
            entry.expected = entry.expected.max(nodes.expected);
            entry.received = entry.received.saturating_add(nodes.received);
        }
        self.sums.add(&other.sums);
    }
}
