//! The state of a rollout on one node.

use std::collections::BTreeMap;

use super::evidence_parts::EvidenceParts;
use crate::fleet::{
    OrderHistory, OrderRelation, RolloutClock, RolloutEvidence, RolloutOrder, RolloutOutcome,
    RolloutPlan, RolloutProgress, RolloutRecord, RolloutReport, RolloutStep, RouteEvidence,
    RouteKey, TrafficShift, VersionRule,
};
use crate::ids::{Incarnation, NodeId, VersionName};
use crate::store::Revision;
use crate::units::{Instant, Micros, Millis, UnixMillis};

/// The state of a rollout as one node knows it.
#[derive(Debug)]
pub struct Rollout {
    /// The operator's order that started the rollout, and earlier ones.
    orders: OrderHistory,
    clock: RolloutClock,
    /// Whether the new version was found bad. Never reset to false.
    is_stopped: bool,
    outcome: Option<RolloutOutcome>,
    /// The revision of the progress in the store; `None` if the store has none, as far as is known
    /// in its present era.
    progress: Option<Revision>,
    record: RolloutRecord,
    /// Whether the store was restored from a copy since the rollout began.
    is_store_restored: bool,
    /// The calls that this node observed at the backend server beside it.
    evidence: RolloutEvidence,
    /// Chooses the part of `evidence` that a report carries.
    parts: EvidenceParts,
    /// What other nodes reported while the rollout ran, by node and its start. Empty after the end.
    reported: BTreeMap<NodeId, (Incarnation, RolloutEvidence)>,
    /// Since when a write of the progress has been due.
    due_since: Option<Instant>,
    /// The outcome in the pending write of the progress.
    writing: Option<RolloutOutcome>,
    /// No progress is written before this instant.
    write_after: Instant,
}

impl Rollout {
    /// Creates a rollout that begins at `now`.
    pub fn new(order: RolloutOrder, now: Instant) -> Self {
        Self {
            orders: OrderHistory::new(order),
            clock: RolloutClock::start(now),
            is_stopped: false,
            outcome: None,
            progress: None,
            record: RolloutRecord::Missing,
            is_store_restored: false,
            evidence: RolloutEvidence::default(),
            parts: EvidenceParts::default(),
            reported: BTreeMap::new(),
            due_since: None,
            writing: None,
            write_after: now,
        }
    }

    /// Returns the order that started the rollout, with the earliest position at which it is known.
    pub const fn order(&self) -> &RolloutOrder {
        self.orders.current()
    }

    /// Returns whether `order` is the one that started the rollout.
    pub fn is_for(&self, order: &RolloutOrder) -> bool {
        self.orders.is_current(order)
    }

    /// Applies an order of the service: a later one replaces the rollout. Returns whether it did.
    pub fn apply_order(&mut self, order: RolloutOrder, now: Instant) -> bool {
        match self.orders.relation(&order) {
            OrderRelation::Current => self.orders.add_position(order.position),
            OrderRelation::Superseded => {}
            OrderRelation::New => {
                self.replace(order, now);
                return true;
            }
        }
        false
    }

    /// Replaces the rollout by a later order of the service. Keeps the revision of the progress in
    /// the store.
    fn replace(&mut self, order: RolloutOrder, now: Instant) {
        let mut new = Self { progress: self.progress, ..Self::new(order.clone(), now) };
        std::mem::swap(&mut new.orders, &mut self.orders);
        new.orders.replace(order);
        *self = new;
    }

    /// Forgets what the store holds, because it was restored from an earlier copy.
    pub(super) fn forget_record(&mut self) {
        self.progress = None;
        self.record = RolloutRecord::Missing;
        self.is_store_restored = true;
        self.writing = None;
        self.due_since = None;
    }

    /// Applies the progress that the store holds.
    pub fn apply_progress(
        &mut self,
        progress: &RolloutProgress,
        revision: Revision,
        now: Instant,
        wall: UnixMillis,
    ) {
        self.progress = Some(revision);
        let order = progress.to_order();
        if !self.is_for(&order) {
            self.record = RolloutRecord::Missing;
            return;
        }
        self.orders.add_position(order.position);
        self.record = progress.outcome.into();
        let elapsed = wall.since(progress.started).min(self.order().duration);
        self.clock.advance_to(now, elapsed.into());
        self.outcome = progress.outcome.or(self.outcome);
        self.is_stopped |= progress.outcome == Some(RolloutOutcome::RolledBack);
    }

    /// Applies the report of another node on the same order. Returns whether something changed for
    /// calls.
    pub fn merge_report(&mut self, report: &RolloutReport, now: Instant) -> bool {
        let before = (self.is_stopped, self.outcome);
        self.clock.advance_to(now, report.elapsed.into());
        self.is_stopped |= report.is_stopped;
        self.outcome = self.outcome.or(report.outcome);
        before != (self.is_stopped, self.outcome)
    }

    /// Stops calls to the new version for good, because it was found bad.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Returns whether the new version was found bad.
    pub const fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns how the rollout ended; `None` while it runs.
    pub const fn outcome(&self) -> Option<RolloutOutcome> {
        self.outcome
    }

    /// Returns the revision of the progress in the store; `None` if the store has none.
    pub const fn progress(&self) -> Option<Revision> {
        self.progress
    }

    /// Returns whether the progress in the store belongs to this order.
    pub fn is_recorded(&self) -> bool {
        self.record != RolloutRecord::Missing
    }

    /// Returns whether the rollout has ended and a restored store lacks its end.
    pub fn is_outcome_lost(&self) -> bool {
        self.is_store_restored && self.outcome.is_some() && self.record != RolloutRecord::Ended
    }

    /// Returns whether the rollout has not ended yet.
    pub const fn is_running(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns the time since the order.
    pub fn elapsed(&self, now: Instant) -> Micros {
        self.clock.elapsed(now)
    }

    /// Returns the step that is due at `now`.
    pub fn step(&self, now: Instant) -> RolloutStep {
        RolloutPlan::new(self.order().duration).step(self.elapsed(now))
    }

    /// Returns the number of windows of evidence that can be compared at `now`.
    pub(super) fn settled_windows(&self, now: Instant) -> usize {
        RolloutPlan::new(self.order().duration).settled_windows(self.elapsed(now))
    }

    /// Returns which versions may take calls.
    pub fn rule(&self) -> VersionRule {
        let target = self.order().target.clone();
        match self.outcome {
            Some(RolloutOutcome::RolledBack) => VersionRule::Except(target),
            Some(RolloutOutcome::Completed) => VersionRule::Only(target),
            None if self.is_stopped => VersionRule::Except(target),
            None => VersionRule::Shift(TrafficShift {
                target,
                order: self.order().position,
                clock: self.clock,
                plan: RolloutPlan::new(self.order().duration),
            }),
        }
    }

    /// Counts an answer of this node's backend server, which has `version` and took `took` until
    /// `now`.
    pub fn record_answer(
        &mut self,
        now: Instant,
        version: &VersionName,
        route: RouteKey,
        took: Micros,
    ) {
        let began = Instant::new(now.get().saturating_sub(took.get()));
        self.record(now, began, version, route, |evidence| evidence.record_answer(took));
    }

    /// Counts a failure of this node's backend server, which has `version`, at `now`.
    pub fn record_failure(&mut self, now: Instant, version: &VersionName, route: RouteKey) {
        self.record(now, now, version, route, RouteEvidence::record_failure);
    }

    fn record(
        &mut self,
        now: Instant,
        began: Instant,
        version: &VersionName,
        route: RouteKey,
        count: impl Fn(&mut RouteEvidence),
    ) {
        let plan = RolloutPlan::new(self.order().duration);
        let elapsed = self.elapsed(began);
        let is_old = *version != self.order().target;
        let is_concurrent = is_old && plan.has_calls_to_new(elapsed);
        self.evidence.record(route, plan.window(elapsed), is_concurrent, count);
        self.parts.record_change(now, route);
    }

    /// Adds the evidence of a start of another node, of which a report may hold a part only.
    pub(super) fn add_reported(
        &mut self,
        node: &NodeId,
        start: Incarnation,
        evidence: &RolloutEvidence,
    ) {
        if !self.is_running() {
            self.reported.clear();
            return;
        }
        let known =
            self.reported.entry(node.clone()).or_insert((start, RolloutEvidence::default()));
        if known.0 != start {
            *known = (start, RolloutEvidence::default());
        }
        known.1.merge_part(evidence);
    }

    /// Returns what `node` has reported of its backend server; `None` if it has reported nothing.
    pub(super) fn reported(&self, node: &NodeId) -> Option<&RolloutEvidence> {
        self.reported.get(node).map(|(_, evidence)| evidence)
    }

    /// Returns the calls that this node observed at the backend server beside it.
    pub const fn evidence(&self) -> &RolloutEvidence {
        &self.evidence
    }

    /// Returns the report to send to other nodes in the heartbeat `turn`.
    pub fn report(&self, now: Instant, turn: u64) -> RolloutReport {
        let has_evidence = self.is_running() && !self.evidence.all.routes.is_empty();
        let evidence = has_evidence.then(|| self.evidence.part(&self.parts.routes(turn)));
        RolloutReport {
            service: self.order().service.clone(),
            target: self.order().target.clone(),
            order: self.order().position.revision,
            order_era: Some(self.order().position.era),
            duration: self.order().duration,
            elapsed: Millis::new(self.elapsed(now).get() / 1_000),
            is_stopped: self.is_stopped,
            outcome: self.outcome,
            evidence,
        }
    }

    /// Returns the progress to write to the store. Remembers `outcome` until the write is
    /// confirmed.
    pub fn to_progress(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        outcome: Option<RolloutOutcome>,
    ) -> RolloutProgress {
        self.writing = outcome;
        let elapsed = self.elapsed(now).get() / 1_000;
        RolloutProgress {
            service: self.order().service.clone(),
            target: self.order().target.clone(),
            order: self.order().position,
            duration: self.order().duration,
            started: UnixMillis::new(wall.get().saturating_sub(elapsed)),
            outcome,
        }
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Micros {
        let duration = Micros::from(self.order().duration).get();
        Micros::new(duration.saturating_sub(self.elapsed(now).get()))
    }

    /// Returns how long a write has been due, counted from `now` if none was due before.
    pub(super) fn due_for(&mut self, now: Instant) -> Micros {
        now.since(*self.due_since.get_or_insert(now))
    }

    /// Records that no write of the progress is due.
    pub(super) const fn clear_due(&mut self) {
        self.due_since = None;
    }

    /// Returns whether progress may be written: not shortly after a write that failed.
    pub(super) fn may_write(&self, now: Instant) -> bool {
        now >= self.write_after
    }

    /// Records that the pending write took effect. Returns the outcome that it contained.
    pub fn confirm_write(&mut self, revision: Revision) -> Option<RolloutOutcome> {
        self.progress = Some(revision);
        self.due_since = None;
        let outcome = self.writing.take();
        self.record = outcome.into();
        self.outcome = self.outcome.or(outcome);
        outcome
    }

    /// Records that the pending write failed or its answer was lost.
    pub(super) fn write_failed(&mut self, now: Instant) {
        const WRITE_RETRY_DELAY: Millis = Millis::new(250);
        self.write_after = now + WRITE_RETRY_DELAY;
    }
}
