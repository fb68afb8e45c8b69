//! Sums of what nodes counted.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::config::ServerVersion;
use crate::ids::{ConfigVersion, TeamName};
use crate::report::{CallCounts, ChangeSums, Cost, RolloutKey, RolloutRecord};

/// Sums of what nodes counted. The order of additions does not change the result.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sums {
    /// The cost of the node processes.
    pub cost: Cost,
    /// The calls of each team, counted where they entered the mesh.
    pub teams: BTreeMap<TeamName, CallCounts>,
    /// The calls that backend servers ran for the new versions of active rollouts.
    pub new_version_calls: BTreeMap<ServerVersion, u64>,
    /// The rollouts that ended. Every node reports each of them, so they are merged by key.
    pub rollouts: BTreeMap<RolloutKey, RolloutRecord>,
    /// The configuration changes that came into force, by the version that they created.
    pub changes: BTreeMap<ConfigVersion, ChangeSums>,
}

impl Sums {
    /// Adds the sums of other nodes, or of the same nodes at other times.
    pub fn add(&mut self, other: &Self) {
        self.cost.add(&other.cost);
        for (team, counts) in &other.teams {
            self.teams.entry(team.clone()).or_default().add(counts);
        }
        for (version, calls) in &other.new_version_calls {
            let sum = self.new_version_calls.entry(version.clone()).or_default();
            *sum = sum.saturating_add(*calls);
        }
        other.rollouts.values().for_each(|record| self.add_rollout(record));
        for (version, change) in &other.changes {
            match self.changes.entry(*version) {
                Entry::Vacant(entry) => drop(entry.insert(change.clone())),
                Entry::Occupied(mut entry) => entry.get_mut().add(change),
            }
        }
    }

    /// Adds the record of an ended rollout. The later of two records counts, since a
    /// completed rollout may still be rolled back.
    pub fn add_rollout(&mut self, record: &RolloutRecord) {
        match self.rollouts.entry(record.key()) {
            Entry::Vacant(entry) => drop(entry.insert(record.clone())),
            Entry::Occupied(mut entry) => {
                let held = entry.get();
                if (record.ended, record.end) > (held.ended, held.end) {
                    entry.insert(record.clone());
                }
            }
        }
    }
}
