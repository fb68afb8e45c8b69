//! The decisions of the node that drives a service's rollouts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::{Change, ConfigContent, Rollout, RolloutPhase, StopMark};
use crate::ids::{RouteName, ServiceName};
use crate::rollout::judge::SETTLE_TIME;
use crate::rollout::rollout_status::RolloutStatus;
use crate::rollout::{
    DriverDecision, Evidence, Judge, Notice, NoticeKind, Ramp, RampDecision, RampStep,
    RouteFinding, RouteVerdict, Symptom, Window,
};
use crate::units::{Millis, PerMille, UnixMillis};

/// The time after a completed rollout during which the new version is still judged.
pub const BAKE_TIME: Millis = Millis::new(3_600_000);
/// The number of windows over which the rate of calls is measured: one minute.
const RATE_WINDOWS: u64 = 6;

/// Decides on the steps, the rollback and the notices of a service's rollouts.
///
/// A new driver rebuilds all state from the configuration and the evidence, except which notices
/// were issued: it repeats the latest one. Each change either names the rollout state that it was
/// decided on or adds marks to a set that only grows, so submitting a change twice or late has
/// no effect.
#[derive(Debug, Clone)]
pub struct Driver {
    service: ServiceName,
    /// The comparison of versions in the current rollout; `None` before the first decision on it.
    judge: Option<Judge>,
    /// The notices issued so far. The time is that of the hold for [`NoticeKind::Held`], and the
    /// start of the rollout for other kinds.
    issued_notices: BTreeSet<(NoticeKind, UnixMillis)>,
}

impl Driver {
    /// Creates a driver of the rollouts of `service` that has issued no notices.
    pub const fn new(service: ServiceName) -> Self {
        Self { service, judge: None, issued_notices: BTreeSet::new() }
    }

    /// Decides at `now` with the newest configuration and the merged evidence.
    pub fn decide(
        &mut self,
        content: &ConfigContent,
        evidence: &Evidence,
        now: UnixMillis,
    ) -> DriverDecision {
        let Some(rollout) = content.rollouts.get(&self.service) else {
            self.judge = None;
            return DriverDecision::default();
        };
        self.issued_notices.retain(|(_, at)| *at >= rollout.started);
        match rollout.phase {
            RolloutPhase::RolledBack => self.report_rollback(rollout),
            RolloutPhase::Completed if now.since(rollout.changed) > BAKE_TIME => {
                DriverDecision::default()
            }
            RolloutPhase::Ramping | RolloutPhase::Held | RolloutPhase::Completed => {
                self.drive(content, rollout, evidence, now)
            }
        }
    }

    fn drive(
        &mut self,
        content: &ConfigContent,
        rollout: &Rollout,
        evidence: &Evidence,
        now: UnixMillis,
    ) -> DriverDecision {
        let idempotency = route_idempotency(content, &self.service);
        let mut judge = match self.judge.take() {
            Some(judge) if judge.matches(rollout, &idempotency) => judge,
            _ => Judge::new(rollout, &idempotency),
        };
        judge.advance(rollout, evidence, now);
        let findings = judge.findings();
        self.judge = Some(judge);
        if let Some(stop_change) = stop_change(rollout, &findings) {
            return DriverDecision { changes: vec![stop_change], notices: Vec::new() };
        }
        self.ramp(rollout, evidence, &findings, now)
    }

    fn ramp(
        &mut self,
        rollout: &Rollout,
        evidence: &Evidence,
        findings: &[RouteFinding],
        now: UnixMillis,
    ) -> DriverDecision {
        let ramp = Ramp {
            rollout,
            findings,
            judged_calls: findings.iter().map(|finding| finding.judged_calls).sum(),
            calls_per_minute: calls_per_minute(rollout, evidence, findings, now),
        };
        let decision = ramp.decide(now);
        let changes = match decision {
            RampDecision::StepOnEvidence(step) => vec![step_change(rollout, step, findings, true)],
            RampDecision::StepOnTime(step) => vec![step_change(rollout, step, findings, false)],
            RampDecision::Wait | RampDecision::Blocked | RampDecision::Inactive => Vec::new(),
        };
        let missing_reports = evidence.missing_reports();
        let status = RolloutStatus { rollout, findings, decision, missing_reports };
        let notices =
            status.notices(now).into_iter().filter(|notice| self.is_new(rollout, notice.kind));
        DriverDecision { changes, notices: notices.collect() }
    }

    /// Records a notice of `kind` and returns whether it is new. A notice of a hold is issued once
    /// for each hold, the others once for each rollout.
    fn is_new(&mut self, rollout: &Rollout, kind: NoticeKind) -> bool {
        let at = if kind == NoticeKind::Held { rollout.changed } else { rollout.started };
        self.issued_notices.insert((kind, at))
    }

    fn report_rollback(&mut self, rollout: &Rollout) -> DriverDecision {
        let notice = self.is_new(rollout, NoticeKind::RolledBack).then(|| Notice {
            kind: NoticeKind::RolledBack,
            service: rollout.service.clone(),
            reason: rollout.reason.clone(),
        });
        DriverDecision { changes: Vec::new(), notices: notice.into_iter().collect() }
    }
}

/// Returns the routes of `service`, each with whether its calls are idempotent.
fn route_idempotency(content: &ConfigContent, service: &ServiceName) -> BTreeMap<RouteName, bool> {
    let own = content.routes.values().filter(|route| route.service == *service);
    own.map(|route| (route.name.clone(), route.idempotent)).collect()
}

/// Returns the change that stops the new version on each route on which it is worse.
fn stop_change(rollout: &Rollout, findings: &[RouteFinding]) -> Option<Change> {
    let worse = findings.iter().filter(|finding| symptom(finding).is_some());
    let worse: Vec<&RouteFinding> = worse.collect();
    let first = worse.first()?;
    let symptom = symptom(first)?;
    let reason = format!(
        "{} is {symptom} on {}: {} against {} of {}",
        rollout.to, first.route, first.new, first.old, rollout.from
    );
    let mark = |finding: &&RouteFinding| StopMark {
        service: rollout.service.clone(),
        version: rollout.to.clone(),
        route: Some(finding.route.clone()),
    };
    Some(Change::AddStops { marks: worse.iter().map(mark).collect(), reason: reason.into() })
}

fn symptom(finding: &RouteFinding) -> Option<Symptom> {
    match finding.verdict {
        RouteVerdict::Worse(symptom) => Some(symptom),
        RouteVerdict::Inconclusive | RouteVerdict::NoWorse => None,
    }
}

fn step_change(
    rollout: &Rollout,
    step: RampStep,
    findings: &[RouteFinding],
    has_evidence: bool,
) -> Change {
    Change::StepRollout {
        expected: rollout.clone(),
        share: step.share,
        non_idempotent_share: step.non_idempotent_share,
        reason: step_reason(rollout, findings, has_evidence),
    }
}

fn step_reason(rollout: &Rollout, findings: &[RouteFinding], has_evidence: bool) -> Arc<str> {
    let calls: u64 = findings.iter().map(|finding| finding.step_calls).sum();
    let no_worse = findings.iter().filter(|f| f.verdict == RouteVerdict::NoWorse).count();
    let routes = findings.len();
    let to = &rollout.to;
    if rollout.share == PerMille::ZERO && rollout.non_idempotent_share == PerMille::ZERO {
        format!("{to} takes its first calls on {routes} routes").into()
    } else if has_evidence {
        format!(
            "{to} is no worse on {no_worse} of {routes} routes after {calls} calls in this step"
        )
        .into()
    } else {
        format!(
            "the deadline is near; the evidence is incomplete: {no_worse} of {routes} routes \
             judged no worse after {calls} calls in this step, none worse"
        )
        .into()
    }
}

/// Returns the number of idempotent and of other calls, of both versions together, in the last
/// minute whose reports have arrived.
fn calls_per_minute(
    rollout: &Rollout,
    evidence: &Evidence,
    findings: &[RouteFinding],
    now: UnixMillis,
) -> [u64; 2] {
    let end = Window::at(UnixMillis::new(now.get().saturating_sub(SETTLE_TIME.get())));
    let first = Window::new(end.get().saturating_sub(RATE_WINDOWS));
    let mut calls = [0, 0];
    for window in evidence.windows(first, end).filter(|window| *window < end) {
        for (route, version, _, stats) in evidence.window(window) {
            let finding = findings.iter().find(|finding| finding.route == *route);
            let is_compared = *version == rollout.from || *version == rollout.to;
            if let Some(finding) = finding.filter(|_| is_compared) {
                calls[usize::from(!finding.is_idempotent)] += u64::from(stats.calls);
            }
        }
    }
    calls
}
