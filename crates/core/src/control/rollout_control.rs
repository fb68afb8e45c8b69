//! Rollouts that this node drives or reports evidence for.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::{Change, ConfigContent, Rollout, StopMark};
use crate::ids::{Incarnation, NodeId, ServiceName};
use crate::peers::Peer;
use crate::rollout::{
    BAKE_TIME, CallOutcome, CountedCalls, CountingRole, Driver, DriverDecision, Evidence,
    EvidenceRecorder, EvidenceReport, HostSpeed, LocalStopRule,
};
use crate::units::{Instant, Micros, Millis, UnixMillis};

/// Time between two reviews of the open rollouts.
const REVIEW_PERIOD: Millis = Millis::new(1_000);
/// Time before a submitted step may be submitted again. The store writer gives up after 5 s.
const STEP_RETRY_DELAY: Millis = Millis::new(6_000);

/// State of the rollouts that this node drives or reports evidence for.
#[derive(Debug, Clone, Default)]
pub(crate) struct RolloutControl {
    local_evidence: Option<LocalEvidence>,
    /// Services for which this node has evidence. It drives the rollouts of those for which it
    /// ranks first.
    driven: BTreeMap<ServiceName, DrivenRollout>,
    /// Comparison of the versions in this node's own calls, by service with an open rollout.
    rules: BTreeMap<ServiceName, RolloutRule>,
    next_review: Instant,
}

/// Evidence counted at the backend server beside this node, and the state of its reports.
#[derive(Debug, Clone)]
struct LocalEvidence {
    service: ServiceName,
    evidence: EvidenceRecorder,
    /// Driver process that got the last report. A restarted driver has the same id, a new
    /// incarnation and no evidence.
    driver: Option<(NodeId, Incarnation)>,
    /// Whether the next report must be full, because a full one was not acknowledged.
    needs_full_report: bool,
    was_last_report_full: bool,
}

/// Driver state and evidence for one service.
#[derive(Debug, Clone)]
struct DrivenRollout {
    driver: Driver,
    evidence: Evidence,
    /// Time of the last submitted step, and the state of the rollout it was decided on.
    submitted: Option<(Instant, Rollout)>,
}

/// Local stop rule for the rollout that started at `started`; a later rollout gets a new one.
#[derive(Debug, Clone)]
struct RolloutRule {
    started: UnixMillis,
    rule: LocalStopRule,
}

/// Stop mark to put in force immediately, with the reason for it.
pub(crate) struct StopDecision {
    pub(crate) mark: StopMark,
    pub(crate) reason: Arc<str>,
}

impl RolloutControl {
    /// Returns whether a review of the rollouts is due, and schedules the next one if so.
    pub(crate) fn start_review(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_review;
        if is_due {
            self.next_review = now + REVIEW_PERIOD;
        }
        is_due
    }

    /// Records calls. Returns the versions that this node must stop on its own evidence.
    pub(crate) fn record_calls(
        &mut self,
        counted: &[CountedCalls],
        content: &ConfigContent,
        own: &Peer,
        nodes: usize,
        wall: UnixMillis,
    ) -> Vec<StopDecision> {
        let mut stops = Vec::new();
        for calls in counted {
            match calls.at {
                CountingRole::Backend => self.record_at_backend(calls, own, wall),
                CountingRole::Entry => {
                    stops.extend(self.record_at_entry(calls, content, nodes, wall))
                }
            }
        }
        stops
    }

    fn record_at_backend(&mut self, calls: &CountedCalls, own: &Peer, wall: UnixMillis) {
        let is_local =
            self.local_evidence.as_ref().is_some_and(|local| local.service == calls.service);
        if !is_local {
            let service = calls.service.clone();
            let evidence = EvidenceRecorder::new(
                service.clone(),
                own.id.clone(),
                own.incarnation,
                HostSpeed::REFERENCE,
            );
            self.local_evidence = Some(LocalEvidence {
                service,
                evidence,
                driver: None,
                needs_full_report: true,
                was_last_report_full: false,
            });
        }
        if let Some(local) = &mut self.local_evidence {
            let (route, version) = (&calls.route, &calls.version);
            let (outcome, latency) = (calls.outcome, calls.latency);
            local.evidence.record(wall, route, version, outcome, latency, calls.calls);
        }
    }

    fn record_at_entry(
        &mut self,
        calls: &CountedCalls,
        content: &ConfigContent,
        nodes: usize,
        wall: UnixMillis,
    ) -> Option<StopDecision> {
        let rollout = content.rollouts.get(&calls.service).filter(|r| r.phase.is_open())?;
        let is_new = calls.version == rollout.to;
        if calls.outcome == CallOutcome::Refused || !(is_new || calls.version == rollout.from) {
            return None;
        }
        let rule = self.rule(rollout, content, nodes);
        let has_failed = calls.outcome == CallOutcome::Failed;
        let must_stop = rule.record(wall, &calls.route, is_new, has_failed, calls.calls);
        must_stop.then(|| StopDecision {
            mark: StopMark {
                service: calls.service.clone(),
                version: rollout.to.clone(),
                route: Some(calls.route.clone()),
            },
            reason: format!(
                "{} fails more often than {} on {} as one node saw it",
                rollout.to, rollout.from, calls.route
            )
            .into(),
        })
    }

    fn rule(
        &mut self,
        rollout: &Rollout,
        content: &ConfigContent,
        nodes: usize,
    ) -> &mut LocalStopRule {
        let routes = content.routes.values().filter(|r| r.service == rollout.service).count();
        let new =
            || RolloutRule { started: rollout.started, rule: LocalStopRule::new(nodes, routes) };
        let entry = self.rules.entry(rollout.service.clone()).or_insert_with(new);
        if entry.started != rollout.started {
            *entry = new();
        }
        &mut entry.rule
    }

    /// Merges the evidence report of a node, if its service has an active rollout.
    pub(crate) fn take_evidence(
        &mut self,
        report: &EvidenceReport,
        content: &ConfigContent,
        wall: UnixMillis,
    ) {
        let rollout = content.rollouts.get(&report.service);
        if rollout.is_some_and(|rollout| is_active(rollout, wall)) {
            self.driven(&report.service).evidence.merge(report, wall);
        }
    }

    /// Returns the evidence report of this node that is due for `driver`.
    pub(crate) fn due_report(
        &mut self,
        service: &ServiceName,
        driver: &Peer,
        wall: UnixMillis,
    ) -> Option<EvidenceReport> {
        let local = self.local_evidence.as_mut().filter(|local| local.service == *service)?;
        let process = (driver.id.clone(), driver.incarnation);
        let is_new = local.driver.as_ref() != Some(&process);
        if !is_new && !local.evidence.is_due(wall) {
            return None;
        }
        local.was_last_report_full = is_new || local.needs_full_report;
        local.needs_full_report = false;
        local.driver = Some(process);
        let evidence = &mut local.evidence;
        Some(if local.was_last_report_full {
            evidence.full_report(wall)
        } else {
            evidence.report(wall)
        })
    }

    /// Handles a report that the driver did not acknowledge. The next report makes up for an
    /// ordinary one, but a full one must be repeated.
    pub(crate) fn handle_report_failure(&mut self) {
        if let Some(local) = &mut self.local_evidence {
            local.needs_full_report |= local.was_last_report_full;
        }
    }

    /// Returns the decision of this node as the driver for `service`.
    pub(crate) fn decide(
        &mut self,
        service: &ServiceName,
        content: &ConfigContent,
        now: Instant,
        wall: UnixMillis,
    ) -> DriverDecision {
        let driven = self.driven(service);
        let rollout = content.rollouts.get(service);
        let is_step_pending = driven.submitted.as_ref().is_some_and(|(at, decided_on)| {
            rollout == Some(decided_on) && now.since(*at) < Micros::from(STEP_RETRY_DELAY)
        });
        let mut decision = driven.driver.decide(content, &driven.evidence, wall);
        let is_step = |change: &Change| matches!(change, Change::StepRollout { .. });
        if is_step_pending {
            // Only further steps wait. A pending step must not delay a stop.
            decision.changes.retain(|change| !is_step(change));
        } else if decision.changes.iter().any(is_step) {
            driven.submitted = rollout.map(|rollout| (now, rollout.clone()));
        }
        decision
    }

    /// Drops the state of services whose rollout is no longer active.
    pub(crate) fn remove_finished(&mut self, content: &ConfigContent, wall: UnixMillis) {
        let is_finished = |service: &ServiceName| {
            !content.rollouts.get(service).is_some_and(|rollout| is_active(rollout, wall))
        };
        self.driven.retain(|service, _| !is_finished(service));
        let is_open = |service: &ServiceName| {
            content.rollouts.get(service).is_some_and(|rollout| rollout.phase.is_open())
        };
        self.rules.retain(|service, _| is_open(service));
    }

    fn driven(&mut self, service: &ServiceName) -> &mut DrivenRollout {
        self.driven.entry(service.clone()).or_insert_with(|| DrivenRollout {
            driver: Driver::new(service.clone()),
            evidence: Evidence::default(),
            submitted: None,
        })
    }
}

/// Returns whether evidence about the versions of `rollout` is still collected.
pub(crate) fn is_active(rollout: &Rollout, wall: UnixMillis) -> bool {
    rollout.phase.is_open() || wall.since(rollout.changed) <= BAKE_TIME
}
