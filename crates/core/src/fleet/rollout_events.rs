//! Judges rollouts and writes their progress to the store.

use super::calls_view::KnownBackend;
use super::fleet_control::FleetControl;
use super::pending_request::RequestPurpose;
use crate::fleet::{
    FleetChange, KeySpace, Rollout, RolloutEvidence, RolloutOutcome, RolloutReport, RolloutStep,
    SparseJudge, StoreFailure, StoreReply, StoreRequest, StoreWrite, VersionEvidence, VersionJudge,
};
use crate::ids::{Incarnation, NodeId, ServiceName, VersionName};
use crate::units::{Instant, Micros, Millis, UnixMillis};

/// What all nodes observed of the versions of a service.
#[derive(Debug, Default)]
struct ObservedVersions {
    /// The new version, by server.
    new_servers: Vec<VersionEvidence>,
    /// The new version on all its servers.
    new: RolloutEvidence,
    /// The other versions.
    old: RolloutEvidence,
}

impl FleetControl {
    /// How long a node waits for each node with a lower id before it writes progress itself. Covers
    /// a lost answer of the store.
    const TAKEOVER_DELAY: Millis = Millis::new(400);
    /// The largest number of nodes that a node waits for.
    const MAX_TAKEOVER_RANK: usize = 5;
    /// How long before its deadline a rollout without a backend server of the new version is rolled
    /// back.
    const MISSING_SERVER_ROLLBACK_LEAD: Millis = Millis::new(800);

    /// Handles the report of a start of another node on a rollout.
    pub(super) fn handle_rollout_report(
        &mut self,
        now: Instant,
        node: &NodeId,
        start: Incarnation,
        report: &RolloutReport,
    ) {
        let order = report.to_order(self.store_era.unwrap_or_default());
        self.record_order(now, order.clone());
        let rollout = self.rollouts.get_mut(&report.service);
        let Some(rollout) = rollout.filter(|rollout| rollout.is_for(&order)) else { return };
        let is_changed = rollout.merge_report(report, now);
        if let Some(evidence) = &report.evidence {
            rollout.add_reported(node, start, evidence);
        }
        if is_changed {
            self.mark_changed();
        }
    }

    /// Applies `count` to the rollout of the service of the backend server beside this node, with
    /// the server's version.
    pub(super) fn update_own_rollout(&mut self, count: impl FnOnce(&mut Rollout, &VersionName)) {
        let Some(backend) = self.registration.backend() else { return };
        if let Some(rollout) = self.rollouts.get_mut(&backend.service) {
            count(rollout, &backend.version);
        }
    }

    /// Judges the running rollouts and writes the progress that is due.
    pub(super) fn drive_rollouts(&mut self, now: Instant, wall: UnixMillis) {
        if now < self.next_judgement {
            return;
        }
        if self.peers.has_relays() {
            self.next_judgement = now + Self::WALK_INTERVAL;
        }
        let is_driven = |rollout: &Rollout| rollout.is_running() || rollout.is_outcome_lost();
        let driven = self.rollouts.iter().filter(|(_, rollout)| is_driven(rollout));
        let driven: Vec<ServiceName> = driven.map(|(service, _)| service.clone()).collect();
        for service in driven {
            self.stop_if_bad(now, &service);
            self.write_due_progress(now, wall, &service);
        }
    }

    fn stop_if_bad(&mut self, now: Instant, service: &ServiceName) {
        if !self.is_judge() {
            return;
        }
        let may_stop = |rollout: &&Rollout| rollout.is_running() && !rollout.is_stopped();
        let Some(rollout) = self.rollouts.get(service).filter(may_stop) else { return };
        let target = rollout.order().target.clone();
        let settled = rollout.settled_windows(now);
        let ObservedVersions { new_servers, new, old } = self.evidence(now, service, &target);
        if old.is_large() {
            self.next_judgement = now + Self::WALK_INTERVAL;
        }
        let fault = VersionJudge::fault(&new_servers, &old);
        let Some(fault) = fault.or_else(|| SparseJudge::fault(&new, &old, settled)) else { return };
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.stop();
        }
        self.report(FleetChange::RolloutStopped { service: service.clone(), target, fault });
        self.mark_changed();
    }

    /// Returns what all nodes observed of the new version and of the others.
    fn evidence(
        &self,
        now: Instant,
        service: &ServiceName,
        target: &VersionName,
    ) -> ObservedVersions {
        let mut observed = ObservedVersions::default();
        let Some(rollout) = self.rollouts.get(service) else { return observed };
        let mut add = |version: &VersionName, evidence: &RolloutEvidence| {
            if version == target {
                observed.new_servers.push(evidence.all.clone());
                observed.new.add(evidence);
            } else {
                observed.old.add(evidence);
            }
        };
        if let Some(backend) = self.registration.backend().filter(|b| b.service == *service) {
            add(&backend.version, rollout.evidence());
        }
        for known in self.backends(now) {
            if let Some(evidence) = rollout.reported(&known.entry.node) {
                add(&known.status.version, evidence);
            }
        }
        observed
    }

    /// Writes the progress of a rollout if it is due and this node's turn.
    fn write_due_progress(&mut self, now: Instant, wall: UnixMillis, service: &ServiceName) {
        let Some(outcome) = self.due_progress(now, service) else {
            if let Some(rollout) = self.rollouts.get_mut(service) {
                rollout.clear_due();
            }
            return;
        };
        let before = self.peers.live.ids.range::<NodeId, _>(..&self.identity.entry.node);
        let rank = before.take(Self::MAX_TAKEOVER_RANK).count();
        let takeover_delay = Micros::from(Self::TAKEOVER_DELAY).get() * rank as u64;
        let purpose = RequestPurpose::Rollout(service.clone());
        let is_pending = self.is_pending(&purpose);
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        if rollout.due_for(now) < Micros::new(takeover_delay)
            || is_pending
            || !rollout.may_write(now)
        {
            return;
        }
        let progress = rollout.to_progress(now, wall, outcome);
        let write = StoreWrite::Progress(progress, rollout.progress());
        self.request(now, purpose, StoreRequest::Write(write));
    }

    /// Returns the progress that is due: the start of the rollout (`Some(None)`) or an outcome.
    fn due_progress(&self, now: Instant, service: &ServiceName) -> Option<Option<RolloutOutcome>> {
        let rollout = self.rollouts.get(service)?;
        if !self.nodes_watcher.is_current() {
            // The write is conditional on what the store holds, which must be read first.
            return None;
        }
        if rollout.outcome().is_some() {
            return Some(rollout.outcome());
        }
        if rollout.is_stopped() {
            return Some(Some(RolloutOutcome::RolledBack));
        }
        if rollout.step(now) == RolloutStep::Complete {
            let is_new = |known: &KnownBackend<'_>| {
                known.status.service == *service
                    && known.status.version == rollout.order().target
                    && !known.is_silent
            };
            if self.backends(now).iter().any(is_new) {
                return Some(Some(RolloutOutcome::Completed));
            }
            if rollout.remaining(now) <= Self::MISSING_SERVER_ROLLBACK_LEAD.into() {
                return Some(Some(RolloutOutcome::RolledBack));
            }
        }
        (!rollout.is_recorded()).then_some(None)
    }

    /// Handles the reply to a write of progress.
    pub(super) fn handle_progress_reply(
        &mut self,
        now: Instant,
        service: &ServiceName,
        reply: Result<StoreReply, StoreFailure>,
    ) {
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        match reply {
            Ok(StoreReply::Written(revision)) => {
                if let Some(outcome) = rollout.confirm_write(revision) {
                    let target = rollout.order().target.clone();
                    self.report(FleetChange::RolloutEnded(service.clone(), target, outcome));
                }
                self.mark_changed();
            }
            // After a conflict or a lost answer, the watcher reports what the store holds.
            Err(failure) => {
                rollout.write_failed(now);
                let is_watched = self.is_pending(&RequestPurpose::Watch(KeySpace::Nodes));
                if failure == StoreFailure::Conflict && !is_watched && !self.is_entry_watcher() {
                    self.nodes_watcher.mark_outdated();
                }
            }
            Ok(_) => rollout.write_failed(now),
        }
    }
}
