//! Merged records of many nodes and minutes.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, MemberName, NodeId};
use crate::report::{AccountingRecord, CallCounts, Cost, Minute};

/// Number of records that are kept at most, about an hour of 1,400 nodes; the
/// oldest minutes go first and are then missing.
pub const MAX_RECORDS: usize = 100_000;

/// What one node counted in one minute.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct NodeMinute {
    cost: Cost,
    members: BTreeMap<MemberName, CallCounts>,
}

/// Merged records of many nodes and minutes.
///
/// A record that comes twice counts once, and of two states of the same
/// counters the higher one counts, so records merge in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounting {
    /// No minute is empty, and none is before `floor`.
    minutes: BTreeMap<Minute, BTreeMap<(NodeId, Incarnation), NodeMinute>>,
    /// The number of records in `minutes`, at most [`MAX_RECORDS`].
    records: usize,
    /// The first minute kept. Never decreases.
    floor: Minute,
}

impl Accounting {
    /// Merges a record.
    pub fn merge(&mut self, record: &AccountingRecord) {
        if record.minute < self.floor {
            return;
        }
        let minute = self.minutes.entry(record.minute).or_default();
        let before = minute.len();
        let entry = minute.entry((record.node.clone(), record.incarnation)).or_default();
        entry.cost.join(&record.cost);
        for (member, counts) in &record.members {
            entry.members.entry(member.clone()).or_default().join(counts);
        }
        self.records += minute.len() - before;
        while self.records > MAX_RECORDS
            && let Some((oldest, records)) = self.minutes.pop_first()
        {
            self.floor = Minute::new(oldest.get() + 1);
            self.records -= records.len();
        }
    }

    /// The calls of every member from `from` until before `to`.
    pub fn calls(&self, from: Minute, to: Minute) -> BTreeMap<MemberName, CallCounts> {
        let mut calls: BTreeMap<MemberName, CallCounts> = BTreeMap::new();
        for (member, counts) in self.records(from, to).flat_map(|record| &record.members) {
            calls.entry(member.clone()).or_default().add(counts);
        }
        calls
    }

    /// The cost of all nodes from `from` until before `to`.
    pub fn cost(&self, from: Minute, to: Minute) -> Cost {
        let mut cost = Cost::default();
        self.records(from, to).for_each(|record| cost.add(&record.cost));
        cost
    }

    /// Whether `node` has a record of `minute`.
    pub fn has_record(&self, node: &NodeId, minute: Minute) -> bool {
        let first = (node.clone(), Incarnation::default());
        let records = self.minutes.get(&minute);
        records.is_some_and(|r| r.range(first..).next().is_some_and(|((id, _), _)| id == node))
    }

    fn records(&self, from: Minute, to: Minute) -> impl Iterator<Item = &NodeMinute> {
        self.minutes.range(from..to.max(from)).flat_map(|(_, records)| records.values())
    }
}
