//! What nodes counted, added up.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::config::ServerVersion;
use crate::ids::{ConfigVersion, TeamName};
use crate::report::{CallCounts, ChangeSums, Cost, RolloutKey, RolloutRecord};

/// What nodes counted, added up. Addition gives the same in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sums {
    /// The cost of the nodes.
    pub cost: Cost,
    /// The calls of each team that entered the mesh.
    pub teams: BTreeMap<TeamName, CallCounts>,
    /// The calls that backend servers ran for versions that a rollout moves traffic to.
    pub new_version_calls: BTreeMap<ServerVersion, u64>,
    /// The rollouts that ended. Every node sees each of them, so they are a set.
    pub rollouts: BTreeMap<RolloutKey, RolloutRecord>,
    /// The changes that came into force.
    pub changes: BTreeMap<ConfigVersion, ChangeSums>,
}

impl Sums {
    /// Adds what other nodes, or the same ones at another time, counted.
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

    /// Adds the end of a rollout. Of two ends the later one counts: a completed
    /// rollout may still be rolled back.
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
