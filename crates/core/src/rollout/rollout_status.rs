//! The notices that are due for a rollout.

use crate::config::{Rollout, RolloutPhase};
use crate::rollout::{Notice, NoticeKind, RampDecision, RampStep, RouteFinding, RouteVerdict};
use crate::units::{Millis, UnixMillis};

const MILLIS_PER_SECOND: u64 = 1_000;
/// The step after which the new version takes all calls.
const FINAL_STEP: RampStep = RampStep::ALL[RampStep::ALL.len() - 1];

/// The state of a rollout that notices report.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RolloutStatus<'a> {
    pub(crate) rollout: &'a Rollout,
    pub(crate) findings: &'a [RouteFinding],
    pub(crate) decision: RampDecision,
    pub(crate) missing_reports: u64,
}

impl RolloutStatus<'_> {
    /// Returns the notices that are due at `now`, including those that were issued before.
    pub(crate) fn notices(&self, now: UnixMillis) -> Vec<Notice> {
        if self.rollout.phase == RolloutPhase::Completed {
            return vec![self.completed_notice()];
        }
        let span = self.rollout.deadline.since(self.rollout.started).get();
        let three_quarters = self.rollout.started + Millis::new(span / 4 * 3);
        let is_last_step = self.decision == RampDecision::StepOnEvidence(FINAL_STEP);
        let outlook = if now >= self.rollout.deadline {
            Some(self.late_notice(now))
        } else if now >= three_quarters && !is_last_step {
            Some(self.overrun_notice(now))
        } else {
            None
        };
        self.held_notice().into_iter().chain(outlook).collect()
    }

    fn completed_notice(&self) -> Notice {
        let Rollout { to, changed, deadline, reason, .. } = self.rollout;
        let when = if changed <= deadline {
            format!("{} s before the deadline", seconds_between(*changed, *deadline))
        } else {
            format!("{} s after the deadline", seconds_between(*deadline, *changed))
        };
        self.notice(NoticeKind::Done, format!("{to} takes all calls, {when}: {reason}"))
    }

    fn held_notice(&self) -> Option<Notice> {
        let cause = match (self.rollout.phase, self.decision) {
            (RolloutPhase::Held, _) => &*self.rollout.reason,
            (_, RampDecision::Blocked) => "the evidence is doubtful",
            _ => return None,
        };
        Some(self.notice(NoticeKind::Held, format!("{cause}; {}", self.progress_text())))
    }

    fn late_notice(&self, now: UnixMillis) -> Notice {
        let late_by = seconds_between(self.rollout.deadline, now);
        let reason = format!("the deadline passed {late_by} s ago; {}", self.progress_text());
        self.notice(NoticeKind::Late, reason)
    }

    fn overrun_notice(&self, now: UnixMillis) -> Notice {
        let left = seconds_between(now, self.rollout.deadline);
        let outlook = match self.decision {
            RampDecision::Blocked | RampDecision::Inactive => "it will be late unless this changes",
            RampDecision::StepOnEvidence(_) | RampDecision::StepOnTime(_) | RampDecision::Wait => {
                "it will end in time on incomplete evidence unless some speaks against it"
            }
        };
        let reason = format!("{left} s are left; {}; {outlook}", self.progress_text());
        self.notice(NoticeKind::WillBeLate, reason)
    }

    fn progress_text(&self) -> String {
        let count =
            |test: fn(&RouteFinding) -> bool| self.findings.iter().filter(|f| test(f)).count();
        format!(
            "{} is at {} of idempotent and {} of other calls, {} of {} routes are judged no worse \
             in this step, {} are doubtful, and {} of the nodes' last reports are missing",
            self.rollout.to,
            self.rollout.share,
            self.rollout.non_idempotent_share,
            count(|finding| finding.verdict == RouteVerdict::NoWorse),
            self.findings.len(),
            count(|finding| finding.has_warning),
            self.missing_reports
        )
    }

    fn notice(&self, kind: NoticeKind, reason: String) -> Notice {
        Notice { kind, service: self.rollout.service.clone(), reason: reason.into() }
    }
}

/// Returns the number of whole seconds from `earlier` to `later`.
fn seconds_between(earlier: UnixMillis, later: UnixMillis) -> u64 {
    later.since(earlier).get() / MILLIS_PER_SECOND
}
