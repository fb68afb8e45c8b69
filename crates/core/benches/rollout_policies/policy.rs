//! The rollout policies that the benchmark compares.

use std::fmt;

use almondsail_core::config::{Change, ConfigContent, Rollout, RolloutPhase, StopMark};
use almondsail_core::ids::VersionName;
use almondsail_core::rollout::{CallStats, Driver, Evidence, RampStep, Window};
use almondsail_core::units::{Millis, UnixMillis};

/// A policy that decides on the steps and the rollback of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The driver and the local stop rule of this crate.
    Almondsail,
    /// Steps at fixed times; rolls back when too many calls of the last minute failed.
    FixedRamp,
    /// Steps when the new version's calls succeed fast enough; ignores the old version.
    NoComparison,
}

/// The share of failed calls from which the simpler policies roll back.
const ERROR_THRESHOLD: f64 = 0.05;
/// The share of slow calls from which [`Policy::NoComparison`] rolls back.
const SLOW_THRESHOLD: f64 = 0.2;
/// The latency bucket above which [`Policy::NoComparison`] counts a call as slow: 64 ms, three
/// times the median latency.
const SLOW_BUCKET: usize = 12;
/// The number of calls of the new version on a route from which the simpler policies judge it.
const JUDGED_CALLS: u32 = 20;
/// The number of calls of the new version in the last minute from which
/// [`Policy::NoComparison`] takes a step.
const STEP_CALLS: u32 = 100;
/// The shortest time between two steps of [`Policy::NoComparison`].
const STEP_TIME: Millis = Millis::new(90_000);
/// The number of latest windows that the simpler policies evaluate: one minute.
const WINDOWS: u64 = 6;

impl Policy {
    pub(crate) const ALL: [Self; 3] = [Self::Almondsail, Self::FixedRamp, Self::NoComparison];

    /// Returns the changes that the policy makes at `now`.
    pub(crate) fn decide(
        self,
        driver: &mut Driver,
        content: &ConfigContent,
        evidence: &Evidence,
        now: UnixMillis,
    ) -> Vec<Change> {
        if self == Self::Almondsail {
            return driver.decide(content, evidence, now).changes;
        }
        let Some(rollout) = content.rollouts.values().next() else { return Vec::new() };
        let first = Window::new(Window::at(now).get().saturating_sub(WINDOWS));
        let new: Vec<CallStats> =
            content.routes.keys().map(|route| evidence.total(first, route, &rollout.to)).collect();
        if rollout.phase == RolloutPhase::RolledBack {
            Vec::new()
        } else if new.iter().any(|stats| self.is_bad(stats)) {
            vec![stop(rollout, &rollout.to)]
        } else if rollout.phase == RolloutPhase::Ramping && self.is_step_due(rollout, &new, now) {
            next_step(rollout).into_iter().collect()
        } else {
            Vec::new()
        }
    }

    fn is_bad(self, stats: &CallStats) -> bool {
        let share = |n: f64| n / f64::from(stats.calls);
        let is_failing = share(f64::from(stats.failures)) > ERROR_THRESHOLD;
        let is_slow = share(stats.latency.count_above(SLOW_BUCKET) as f64) > SLOW_THRESHOLD;
        stats.calls >= JUDGED_CALLS && (is_failing || (self == Self::NoComparison && is_slow))
    }

    fn is_step_due(self, rollout: &Rollout, new: &[CallStats], now: UnixMillis) -> bool {
        let index = RampStep::ALL.iter().filter(|step| is_reached(rollout, step)).count() as u64;
        let span = rollout.deadline.since(rollout.started).get();
        let steps = RampStep::ALL.len() as u64 + 1;
        let is_due = now >= rollout.started + Millis::new(span * index / steps);
        let calls: u32 = new.iter().map(|stats| stats.calls).sum();
        let looks_healthy =
            index == 0 || (now.since(rollout.changed) >= STEP_TIME && calls >= STEP_CALLS);
        is_due || (self == Self::NoComparison && looks_healthy)
    }
}

fn is_reached(rollout: &Rollout, step: &RampStep) -> bool {
    rollout.share >= step.share && rollout.non_idempotent_share >= step.non_idempotent_share
}

fn next_step(rollout: &Rollout) -> Option<Change> {
    let step = RampStep::ALL.iter().find(|step| !is_reached(rollout, step))?;
    Some(Change::StepRollout {
        expected: rollout.clone(),
        share: step.share,
        non_idempotent_share: step.non_idempotent_share,
        reason: "".into(),
    })
}

/// Returns the change that stops `version` on all routes.
pub(crate) fn stop(rollout: &Rollout, version: &VersionName) -> Change {
    let mark = StopMark { service: rollout.service.clone(), version: version.clone(), route: None };
    Change::AddStops { marks: vec![mark], reason: "".into() }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Almondsail => "almondsail",
            Self::FixedRamp => "fixed ramp, 5% errors",
            Self::NoComparison => "no comparison",
        })
    }
}
