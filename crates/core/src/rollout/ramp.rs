//! The choice of the time and the share of the next rollout step.

use crate::config::{Rollout, RolloutPhase};
use crate::rollout::judge::{IN_FORCE_TIME, share_of};
use crate::rollout::{RampStep, RouteFinding, RouteVerdict};
use crate::units::{Millis, PerMille, UnixMillis};

/// The shortest time between steps if the deadline allows it: a step is in force after 4.5 s, and
/// a whole window of it is judged 16 s later.
const MIN_DWELL: Millis = Millis::new(30_000);
/// The longest time that a step must last if there is enough evidence.
const MAX_DWELL: Millis = Millis::new(600_000);
/// The divisor of the rollout's time that gives the length of a step with enough evidence.
const DWELL_DIVISOR: u64 = 20;
/// The divisor of the rollout's time that gives the shortest length of any step, up to
/// [`MIN_DWELL`].
const SHORTEST_DWELL_DIVISOR: u64 = 16;
/// The percentage of the rollout's time after which each step is taken even without enough
/// evidence. A tenth of the time remains after the last step.
const LATEST_START_PERCENT: [u64; 8] = [0, 15, 28, 40, 52, 64, 77, 90];
/// The least time from the last step to the deadline: the step is in force 4.5 s later, on hosts
/// whose clocks differ by up to 500 ms.
const LAST_STEP_MARGIN: Millis = Millis::new(6_000);
/// The time from the first failures until their evidence stops the version.
const DETECTION_TIME: Millis = Millis::new(20_000);
/// The number of calls that a step may expose during [`DETECTION_TIME`] for each call judged so
/// far.
const MAX_EXPOSURE_RATIO: u64 = 8;
/// The number of calls that a step may expose during [`DETECTION_TIME`] in any case.
const ALWAYS_ALLOWED_EXPOSURE: u64 = 100;
/// The number of expected calls from which a new version without any call blocks further steps.
const MIN_MISSING_CALLS: u64 = 50;

/// The state of a rollout from which its next step is decided.
#[derive(Debug, Clone, Copy)]
pub struct Ramp<'a> {
    /// The rollout with its current phase and shares.
    pub rollout: &'a Rollout,
    /// The findings of the judge on each of the service's routes.
    pub findings: &'a [RouteFinding],
    /// The number of calls of the new version judged since the rollout began.
    pub judged_calls: u64,
    /// The number of idempotent and of other calls of both versions in the last minute.
    pub calls_per_minute: [u64; 2],
}

/// The decision on the next step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampDecision {
    /// Take this step, since there is enough evidence from the current one.
    StepOnEvidence(RampStep),
    /// Take this step without enough evidence, since the deadline requires it and no evidence
    /// speaks against the new version.
    StepOnTime(RampStep),
    /// Stay at the current step until there is more evidence or the deadline requires the next one.
    Wait,
    /// Take no step, since some evidence speaks against the new version or it gets no calls.
    Blocked,
    /// Take no step, since the rollout is held or over, or has taken its last step.
    Inactive,
}

impl Ramp<'_> {
    /// Decides on the next step at `now`.
    pub fn decide(&self, now: UnixMillis) -> RampDecision {
        if self.rollout.phase != RolloutPhase::Ramping {
            return RampDecision::Inactive;
        }
        if self.findings.iter().any(|finding| self.blocks_step(finding, now)) {
            return RampDecision::Blocked;
        }
        let Some(index) = self.next_step_index() else { return RampDecision::Inactive };
        let step = RampStep::ALL[index];
        let time_in_step = now.since(self.rollout.changed);
        if index == 0
            || (time_in_step >= self.dwell()
                && self.has_evidence()
                && self.is_exposure_bounded(step))
        {
            RampDecision::StepOnEvidence(step)
        } else if now >= self.latest_start(index) && time_in_step >= self.shortest_dwell() {
            RampDecision::StepOnTime(step)
        } else {
            RampDecision::Wait
        }
    }

    /// Returns when the step at `index` is taken even without enough evidence.
    fn latest_start(&self, index: usize) -> UnixMillis {
        let span = self.span();
        let planned = span * LATEST_START_PERCENT[index] / 100;
        // A rollout that is too short for the margin takes its steps in the first half of its time.
        let margin = LAST_STEP_MARGIN.get().min(span / 2);
        let usable = (span - margin) * (index as u64 + 1) / RampStep::ALL.len() as u64;
        self.rollout.started + Millis::new(planned.min(usable))
    }

    fn span(&self) -> u64 {
        self.rollout.deadline.since(self.rollout.started).get()
    }

    fn dwell(&self) -> Millis {
        Millis::new(self.span() / DWELL_DIVISOR).clamp(MIN_DWELL, MAX_DWELL)
    }

    /// Returns the shortest time between steps in any case. It keeps a driver that starts late from
    /// raising the share from 1% to 100% at once.
    fn shortest_dwell(&self) -> Millis {
        MIN_DWELL.min(Millis::new(self.span() / SHORTEST_DWELL_DIVISOR))
    }

    /// Returns the index of the first step that raises a share and lowers none.
    fn next_step_index(&self) -> Option<usize> {
        let (share, other) = (self.rollout.share, self.rollout.non_idempotent_share);
        RampStep::ALL.iter().position(|step| {
            step.share >= share
                && step.non_idempotent_share >= other
                && (step.share > share || step.non_idempotent_share > other)
        })
    }

    /// Returns whether the new version is no worse on each route that has calls and takes part in
    /// the current step.
    fn has_evidence(&self) -> bool {
        let takes_part = |finding: &&RouteFinding| {
            let has_calls = finding.step_calls + finding.old_step_calls > 0;
            has_calls && self.share_of(finding.is_idempotent) > 0
        };
        let mut exposed = self.findings.iter().filter(takes_part).peekable();
        // Steps that move only idempotent calls give no evidence on a service without such routes.
        let is_empty_step = self.rollout.non_idempotent_share == PerMille::ZERO
            && self.findings.iter().all(|finding| !finding.is_idempotent);
        (exposed.peek().is_some() || is_empty_step)
            && exposed.all(|finding| finding.verdict == RouteVerdict::NoWorse)
    }

    /// Returns whether `step` exposes few enough calls during [`DETECTION_TIME`].
    fn is_exposure_bounded(&self, step: RampStep) -> bool {
        let exposed = |calls: u64, is_idempotent: bool| {
            const MINUTE: u64 = 60_000;
            let share = u64::from(step.share_of(is_idempotent).get());
            calls * share * DETECTION_TIME.get() / MINUTE / 1_000
        };
        let [idempotent, other] = self.calls_per_minute;
        let expected = exposed(idempotent, true) + exposed(other, false);
        expected <= ALWAYS_ALLOWED_EXPOSURE.max(MAX_EXPOSURE_RATIO * self.judged_calls)
    }

    /// Returns whether some evidence speaks against the new version on this route, or it gets no
    /// calls there although they are expected.
    fn blocks_step(&self, finding: &RouteFinding, now: UnixMillis) -> bool {
        let share = self.share_of(finding.is_idempotent);
        let rest = 1_000_u64.saturating_sub(share).max(1);
        let expected = finding.old_step_calls * share / rest;
        let is_in_force = now.since(self.rollout.changed) > IN_FORCE_TIME;
        finding.has_warning
            || (is_in_force && finding.step_calls == 0 && expected >= MIN_MISSING_CALLS)
    }

    fn share_of(&self, is_idempotent: bool) -> u64 {
        share_of(self.rollout, is_idempotent).get().into()
    }
}
