//! The sums of a data centre and hour.

use std::collections::BTreeMap;

use crate::report::{Minute, Sums};

/// How many nodes a minute has records of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeMinutes {
    /// The nodes that were to send a record.
    pub expected: u64,
    /// The nodes that sent a record of the whole minute. The first record of a
    /// process is added to the sums, but does not count here: an earlier process
    /// of the node may have counted as well, and what it counted is lost.
    pub received: u64,
}

impl NodeMinutes {
    /// The records that are missing.
    pub const fn missing(self) -> u64 {
        self.expected.saturating_sub(self.received)
    }
}

/// The sums of a data centre and hour, or a part of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HourSums {
    /// The minutes of the hour for which a collector knew what to expect, or has
    /// records. One that is absent is missing for every node.
    pub minutes: BTreeMap<Minute, NodeMinutes>,
    /// What the nodes counted.
    pub sums: Sums,
}

impl HourSums {
    /// Adds another part of the same hour. Two collectors may expect the same
    /// nodes, so the higher expectation counts; each record is in one part only.
    pub fn add(&mut self, other: &Self) {
        for (minute, nodes) in &other.minutes {
            let entry = self.minutes.entry(*minute).or_default();
            entry.expected = entry.expected.max(nodes.expected);
            entry.received = entry.received.saturating_add(nodes.received);
        }
        self.sums.add(&other.sums);
    }
}
