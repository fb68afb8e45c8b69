//! The driver of a service's rollouts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::{Change, ConfigContent, Rollout, RolloutPhase, StopMark};
use crate::ids::{RouteName, ServiceName};
use crate::rollout::judge::SETTLE_TIME;
use crate::rollout::{
    DriverDecision, Evidence, Judge, Notice, NoticeKind, Ramp, RampDecision, RampStep,
    RouteFinding, RouteVerdict, Symptom, Window,
};
use crate::units::{Millis, PerMille, UnixMillis};

/// The time after a rollout during which the new version is still judged.
pub const AFTERCARE: Millis = Millis::new(3_600_000);
/// Number of windows over which the rate of calls is measured: a minute.
const RATE_WINDOWS: u64 = 6;
/// The step that completes a rollout.
const FINAL_STEP: RampStep = RampStep::ALL[RampStep::ALL.len() - 1];

/// The driver of a service's rollouts.
///
/// It keeps nothing that a new driver could not rebuild from the configuration
/// and the evidence, except which notices it gave: a new driver repeats the
/// latest one. Each change names the rollout that it was decided on, or adds
/// marks to a set that only grows, so submitting one twice or late has no effect.
#[derive(Debug, Clone)]
pub struct Driver {
    service: ServiceName,
    /// Computed from the evidence; for the current rollout.
    judge: Option<Judge>,
    /// The notices given, each with the time that makes it new.
    told: BTreeSet<(NoticeKind, UnixMillis)>,
}

impl Driver {
    /// The driver of the rollouts of `service`.
    pub const fn new(service: ServiceName) -> Self {
        Self { service, judge: None, told: BTreeSet::new() }
    }

    /// What to do at `now`, with the newest configuration and the merged evidence.
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
        self.told.retain(|(_, at)| *at >= rollout.started);
        match rollout.phase {
            RolloutPhase::RolledBack => self.report_rollback(rollout),
            RolloutPhase::Completed if now.since(rollout.changed) > AFTERCARE => {
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
        let kinds = route_kinds(content, &self.service);
        let mut judge = match self.judge.take() {
            Some(judge) if judge.is_for(rollout, &kinds) => judge,
            _ => Judge::new(rollout, &kinds),
        };
        judge.advance(rollout, evidence, now);
        let findings = judge.findings();
        self.judge = Some(judge);
        let with_kind = |finding: RouteFinding| {
            let is_idempotent = kinds[&finding.route];
            (finding, is_idempotent)
        };
        let findings: Vec<(RouteFinding, bool)> = findings.into_iter().map(with_kind).collect();
        if let Some(stops) = stops(rollout, &findings) {
            return DriverDecision { changes: vec![stops], notices: Vec::new() };
        }
        self.ramp(rollout, evidence, &findings, now)
    }

    fn ramp(
        &mut self,
        rollout: &Rollout,
        evidence: &Evidence,
        findings: &[(RouteFinding, bool)],
        now: UnixMillis,
    ) -> DriverDecision {
        let ramp = Ramp {
            rollout,
            findings,
            judged_calls: findings.iter().map(|(finding, _)| finding.new.calls).sum(),
            calls_per_minute: calls_per_minute(rollout, evidence, findings, now),
        };
        let decision = ramp.decide(now);
        let changes = match decision {
            RampDecision::StepOnEvidence(step) => vec![step_change(rollout, step, findings, true)],
            RampDecision::StepOnTime(step) => vec![step_change(rollout, step, findings, false)],
            RampDecision::Wait | RampDecision::Doubt | RampDecision::Stay => Vec::new(),
        };
        let notices = notice(rollout, findings, decision, now);
        let notices = notices.into_iter().filter(|notice| self.is_new(rollout, notice.kind));
        DriverDecision { changes, notices: notices.collect() }
    }

    /// Whether a notice of `kind` was not yet given. Each hold is new; the rest come once a rollout.
    fn is_new(&mut self, rollout: &Rollout, kind: NoticeKind) -> bool {
        let at = if kind == NoticeKind::Held { rollout.changed } else { rollout.started };
        self.told.insert((kind, at))
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

/// The service's routes, and whether their calls are idempotent.
fn route_kinds(content: &ConfigContent, service: &ServiceName) -> BTreeMap<RouteName, bool> {
    let own = content.routes.values().filter(|route| route.service == *service);
    own.map(|route| (route.name.clone(), route.idempotent)).collect()
}

/// The change that stops the new version on the routes on which it is worse.
fn stops(rollout: &Rollout, findings: &[(RouteFinding, bool)]) -> Option<Change> {
    let worse = findings.iter().map(|(finding, _)| finding).filter(|f| symptom(f).is_some());
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
        RouteVerdict::NotEnough | RouteVerdict::NoWorse => None,
    }
}

fn step_change(
    rollout: &Rollout,
    step: RampStep,
    findings: &[(RouteFinding, bool)],
    has_evidence: bool,
) -> Change {
    Change::StepRollout {
        expected: rollout.clone(),
        share: step.share,
        non_idempotent_share: step.non_idempotent_share,
        reason: step_reason(rollout, findings, has_evidence),
    }
}

fn step_reason(
    rollout: &Rollout,
    findings: &[(RouteFinding, bool)],
    has_evidence: bool,
) -> Arc<str> {
    let calls: u64 = findings.iter().map(|(finding, _)| finding.step_calls).sum();
    let is_no_worse = |(f, _): &&(RouteFinding, bool)| f.verdict == RouteVerdict::NoWorse;
    let no_worse = findings.iter().filter(is_no_worse).count();
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

/// The news that the rollout as it stands gives.
fn notice(
    rollout: &Rollout,
    findings: &[(RouteFinding, bool)],
    decision: RampDecision,
    now: UnixMillis,
) -> Vec<Notice> {
    let notice = |kind, reason: String| Notice {
        kind,
        service: rollout.service.clone(),
        reason: reason.into(),
    };
    if rollout.phase == RolloutPhase::Completed {
        return vec![notice(NoticeKind::Done, done_reason(rollout))];
    }
    let state = state_sentence(rollout, findings);
    let mut notices = Vec::new();
    if rollout.phase == RolloutPhase::Held {
        notices.push(notice(NoticeKind::Held, format!("{}; {state}", rollout.reason)));
    } else if decision == RampDecision::Doubt {
        notices.push(notice(NoticeKind::Held, format!("the evidence is doubtful; {state}")));
    }
    let span = rollout.deadline.since(rollout.started).get();
    let three_quarters = rollout.started + Millis::new(span / 4 * 3);
    let is_stuck = matches!(decision, RampDecision::Doubt | RampDecision::Stay);
    if now >= rollout.deadline {
        let late = now.since(rollout.deadline).get() / MILLIS_PER_SECOND;
        notices
            .push(notice(NoticeKind::Late, format!("the deadline passed {late} s ago; {state}")));
    } else if now >= three_quarters && decision != RampDecision::StepOnEvidence(FINAL_STEP) {
        let left = rollout.deadline.since(now).get() / MILLIS_PER_SECOND;
        let outlook = if is_stuck {
            "it will be late unless this changes"
        } else {
            "it will end in time on incomplete evidence unless some speaks against it"
        };
        notices
            .push(notice(NoticeKind::WillBeLate, format!("{left} s are left; {state}; {outlook}")));
    }
    notices
}

/// Number of milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

fn state_sentence(rollout: &Rollout, findings: &[(RouteFinding, bool)]) -> String {
    let count = |test: fn(&RouteFinding) -> bool| {
        findings.iter().filter(|(finding, _)| test(finding)).count()
    };
    let no_worse = count(|f| f.verdict == RouteVerdict::NoWorse);
    let doubtful = count(|f| f.is_doubtful);
    format!(
        "{} is at {} of idempotent and {} of other calls, {no_worse} of {} routes are judged \
         no worse in this step, {doubtful} are doubtful",
        rollout.to,
        rollout.share,
        rollout.non_idempotent_share,
        findings.len()
    )
}

fn done_reason(rollout: &Rollout) -> String {
    let at = |from: UnixMillis, to: UnixMillis| to.since(from).get() / MILLIS_PER_SECOND;
    let when = if rollout.changed <= rollout.deadline {
        format!("{} s before the deadline", at(rollout.changed, rollout.deadline))
    } else {
        format!("{} s after the deadline", at(rollout.deadline, rollout.changed))
    };
    format!("{} takes all calls, {when}: {}", rollout.to, rollout.reason)
}

/// The calls of both versions in the last minute that is complete: idempotent ones and others.
fn calls_per_minute(
    rollout: &Rollout,
    evidence: &Evidence,
    findings: &[(RouteFinding, bool)],
    now: UnixMillis,
) -> [u64; 2] {
    let end = Window::at(UnixMillis::new(now.get().saturating_sub(SETTLE_TIME.get())));
    let first = Window::new(end.get().saturating_sub(RATE_WINDOWS));
    let mut calls = [0, 0];
    for window in evidence.windows(first, end).filter(|window| *window < end) {
        for (route, version, _, tally) in evidence.window(window) {
            let kind = findings.iter().find(|(finding, _)| finding.route == *route);
            let is_ours = *version == rollout.from || *version == rollout.to;
            if let Some((_, is_idempotent)) = kind.filter(|_| is_ours) {
                calls[usize::from(!is_idempotent)] += u64::from(tally.calls);
            }
        }
    }
    calls
}
