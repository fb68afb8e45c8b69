//! The counters of a node for the current minute.

use std::sync::Arc;

use crate::config::{Config, ConfigContent, HistoryEntry, ServerVersion};
use crate::control::is_active;
use crate::ids::{NodeId, TeamName};
use crate::report::{AccountingRecord, ChangeSums, Cost, EndedCalls, Minute, RolloutRecord, Sums};
use crate::rollout::{CallOutcome, CountedCalls, CountingRole};
use crate::units::UnixMillis;

/// Counts calls, costs, changes and ended rollouts of this node for the current minute.
#[derive(Debug, Clone)]
pub struct Ledger {
    node: NodeId,
    started: UnixMillis,
    /// The current minute. Never decreases, even if the clock is set back.
    minute: Minute,
    covers_minute: bool,
    sums: Sums,
    /// The cost of the process at the last reading; zero before the first.
    last_cost: Cost,
    /// The last applied configuration; `None` before the first.
    applied: Option<Arc<Config>>,
}

impl Ledger {
    /// Creates the ledger of a process that starts at the wall-clock time `wall`.
    pub fn new(node: NodeId, wall: UnixMillis) -> Self {
        Self {
            node,
            started: wall,
            minute: Minute::at(wall),
            covers_minute: Minute::at(wall).start() == wall,
            sums: Sums::default(),
            last_cost: Cost::default(),
            applied: None,
        }
    }

    /// Counts calls that entered the mesh at this node. Calls of a service that the
    /// configuration no longer contains belong to no team and are not counted.
    pub fn count(&mut self, ended: &[EndedCalls], content: &ConfigContent) {
        for calls in ended {
            let Some(service) = content.services.get(&calls.service) else { continue };
            let route = content.routes.get(&calls.route);
            let is_idempotent = route.is_some_and(|route| route.idempotent);
            let counts = self.sums.teams.entry(service.team.clone()).or_default();
            counts.record(calls.end, is_idempotent, calls.count);
        }
    }

    /// Counts the calls that the backend server beside this node ran, if its version is the new
    /// one of an active rollout. Refused calls did not run and are left out.
    pub fn count_at_backend(
        &mut self,
        counted: &[CountedCalls],
        content: &ConfigContent,
        wall: UnixMillis,
    ) {
        let has_run =
            |c: &&CountedCalls| c.at == CountingRole::Backend && c.outcome != CallOutcome::Refused;
        for calls in counted.iter().filter(has_run) {
            let rollout = content.rollouts.get(&calls.service);
            if rollout.is_some_and(|r| r.to == calls.version && is_active(r, wall)) {
                let (service, version) = (calls.service.clone(), calls.version.clone());
                let sum = self
                    .sums
                    .new_version_calls
                    .entry(ServerVersion { service, version })
                    .or_default();
                *sum = sum.saturating_add(calls.calls.into());
            }
        }
    }

    /// Adds the cost since the last reading; `total` is the cost since the start of the process.
    pub fn read_cost(&mut self, total: Cost) {
        self.sums.cost.add(&total.since(&self.last_cost));
        self.last_cost = total;
    }

    /// Records that `config` came into force on this node at `wall`, with every new change
    /// and every rollout that ended. Changes accepted before the process started are left out.
    pub fn apply(&mut self, config: &Arc<Config>, wall: UnixMillis) {
        let before = self.applied.as_ref().map(|cfg| cfg.version).unwrap_or_default();
        if config.version <= before {
            return;
        }
        let is_new = |e: &&HistoryEntry| e.version > before && e.at >= self.started;
        for entry in config.history.iter().filter(is_new) {
            let change = ChangeSums {
                team: self.team_of(entry, config),
                accepted: entry.at,
                nodes: 1,
                expected: 0,
                longest: wall.since(entry.at),
            };
            self.sums.changes.insert(entry.version, change);
        }
        self.record_ended_rollouts(config, wall);
        self.applied = Some(config.clone());
    }

    /// Returns the record of the current minute if that has ended at `wall`, and starts the next.
    pub fn finish_minute(&mut self, wall: UnixMillis) -> Option<AccountingRecord> {
        let minute = Minute::at(wall);
        if minute <= self.minute {
            return None;
        }
        let ended = std::mem::replace(&mut self.minute, minute);
        Some(AccountingRecord {
            node: self.node.clone(),
            minute: ended,
            covers_minute: std::mem::replace(&mut self.covers_minute, true),
            sums: std::mem::take(&mut self.sums),
        })
    }

    /// Returns the team whose service a change concerns, even if it removed the service.
    fn team_of(&self, entry: &HistoryEntry, config: &Config) -> Option<TeamName> {
        let service = entry.service.as_ref()?;
        let configs = [Some(config), self.applied.as_deref()];
        let mut owners = configs.into_iter().flatten();
        owners.find_map(|cfg| cfg.content.services.get(service)).map(|s| s.team.clone())
    }

    fn record_ended_rollouts(&mut self, config: &Config, wall: UnixMillis) {
        for rollout in config.content.rollouts.values().filter(|r| !r.phase.is_open()) {
            let before = self.applied.as_ref();
            let before = before.and_then(|cfg| cfg.content.rollouts.get(&rollout.service));
            let is_known =
                before.is_some_and(|b| b.started == rollout.started && b.phase == rollout.phase);
            let is_old = self.applied.is_none() && rollout.changed < self.started;
            let Some(service) = config.content.services.get(&rollout.service) else { continue };
            if !is_known
                && !is_old
                && let Some(record) = RolloutRecord::of(rollout, &service.team, wall)
            {
                self.sums.add_rollout(&record);
            }
        }
    }
}
