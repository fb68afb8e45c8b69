//! Waiting calls in order of rank and target.

use std::collections::{BTreeMap, HashMap};

use crate::RefusalReason;
use crate::fleet::server_slots::ServerSlots;
use crate::fleet::{
    Admission, CallQueue, CallRank, CallRequirements, QueueTicket, QueueWakeup, ServiceTimes,
};
use crate::ids::RouteName;
use crate::units::{Instant, Micros, Millis};

/// Orders waiting calls by rank, then by the earliest target.
///
/// Calls that a running call makes have short targets and so overtake new work, which would only
/// wait for them. A call is refused on arrival if it would be late and the queue is not short, so
/// that admitted calls are answered in time. The expected wait includes calls that arrive later and
/// overtake it, estimated from earlier waits. A call that is short compared with the server's other
/// calls may also wait for as long as its target latency.
#[derive(Debug, Default)]
pub(super) struct TargetQueue {
    /// The waiting calls, in the order in which they run.
    waiting: BTreeMap<QueuePosition, WaitingCall>,
    positions: BTreeMap<QueueTicket, QueuePosition>,
    /// For each route, the mean ratio of the actual wait to the wait expected on arrival, which
    /// overtaking calls lengthen. Starts at 1, so that one unusual first wait has little effect.
    overtaking_factors: HashMap<RouteName, f64>,
}

/// A waiting call with the wait that was expected on its arrival.
#[derive(Debug, Clone)]
struct WaitingCall {
    requirements: CallRequirements,
    queued_at: Instant,
    /// The wait expected from the calls ahead of it, without calls that overtake it later.
    expected_wait: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    rank: CallRank,
    target: Instant,
    ticket: QueueTicket,
}

impl QueuePosition {
    const fn new(requirements: &CallRequirements, ticket: QueueTicket) -> Self {
        Self { rank: requirements.rank, target: requirements.target, ticket }
    }
}

impl TargetQueue {
    /// A wait up to this fraction of the target latency is allowed even if the call will be late,
    /// so that a server slower than the target still serves.
    const SHORT_WAIT_FRACTION: f64 = 0.08;
    /// A wait up to this counts as short whatever the target latency: refusing a call made by a
    /// running call wastes the work of both.
    const NEGLIGIBLE_WAIT: Millis = Millis::new(20);
    /// A call is short if its run time is at most this fraction of the mean run time of the calls
    /// that hold slots. Even a late short call is worth more per second of slot time than a long
    /// one in time, and if a running call made it, that call's work would be lost with it.
    const SHORT_CALL_FRACTION: f64 = 0.3;
    /// The weight of the newest wait in the mean overtaking factor of a route.
    const NEWEST_OVERTAKING_WEIGHT: f64 = 0.05;
    /// The largest overtaking factor that a single wait counts as. A longer wait carries no more
    /// information.
    const MAX_OVERTAKING_FACTOR: f64 = 8.0;
    /// The multiple of its expected run time that a call must have left before its target when it
    /// starts. Covers the spread of run times.
    const RUN_TIME_MARGIN_FACTOR: f64 = 1.5;

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Decides whether a call that finds no free slot waits or is refused.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        ticket: QueueTicket,
        requirements: CallRequirements,
    ) -> Admission {
        let expected_wait = self.expected_wait(server, QueuePosition::new(&requirements, ticket));
        let wait = self.wait_with_overtaking(&requirements.route, expected_wait);
        let refuse = |reason| Admission::Refused { reason, retry_after: self.drain_time(server) };
        if self.waiting.len() >= CallQueue::MAX_WAITING {
            return refuse(RefusalReason::QueueFull);
        }
        if !self.should_wait(now, server, wait, &requirements) {
            return refuse(RefusalReason::DeadlineTooNear);
        }
        self.insert(now, ticket, requirements, expected_wait);
        Admission::Wait(ticket)
    }

    /// Adds a call that waited under another policy.
    pub(super) fn readmit(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        ticket: QueueTicket,
        requirements: CallRequirements,
    ) {
        let expected_wait = self.expected_wait(server, QueuePosition::new(&requirements, ticket));
        self.insert(now, ticket, requirements, expected_wait);
    }

    /// Removes a waiting call. Returns false if it no longer waits.
    pub(super) fn cancel(&mut self, ticket: QueueTicket) -> bool {
        let Some(position) = self.positions.remove(&ticket) else { return false };
        self.waiting.remove(&position).is_some()
    }

    /// Removes all waiting calls and returns them.
    pub(super) fn take_all(&mut self) -> Vec<(QueueTicket, CallRequirements)> {
        self.positions.clear();
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.map(|(position, call)| (position.ticket, call.requirements)).collect()
    }

    /// Removes the call whose turn it is, which runs or is refused because it would miss its
    /// deadline.
    pub(super) fn pop(&mut self, now: Instant, server: &ServerSlots) -> Option<QueueWakeup> {
        let (position, waiting) = self.waiting.pop_first()?;
        self.positions.remove(&position.ticket);
        self.record_overtaking(now, &waiting);
        let requirements = waiting.requirements;
        let expected = server.expected_run_time(&requirements.route);
        let misses_deadline = now + half(expected) > requirements.deadline;
        let refused =
            misses_deadline.then(|| (RefusalReason::DeadlineTooNear, self.drain_time(server)));
        Some(QueueWakeup { ticket: position.ticket, refused })
    }

    /// Returns the waiting calls in the order in which they run.
    pub(super) fn in_order(&self) -> Vec<(QueueTicket, &CallRequirements)> {
        let waiting = self.waiting.iter();
        waiting.map(|(position, call)| (position.ticket, &call.requirements)).collect()
    }

    /// Returns the number of waiting calls that run before a new call with `requirements`.
    pub(super) fn calls_ahead(
        &self,
        requirements: &CallRequirements,
        next_ticket: QueueTicket,
    ) -> usize {
        self.waiting.range(..QueuePosition::new(requirements, next_ticket)).count()
    }

    fn insert(
        &mut self,
        now: Instant,
        ticket: QueueTicket,
        requirements: CallRequirements,
        expected_wait: Micros,
    ) {
        let position = QueuePosition::new(&requirements, ticket);
        self.waiting.insert(position, WaitingCall { requirements, queued_at: now, expected_wait });
        self.positions.insert(ticket, position);
    }

    /// Returns whether a call that gets a slot after `wait` should wait for it.
    fn should_wait(
        &self,
        now: Instant,
        server: &ServerSlots,
        wait: Micros,
        requirements: &CallRequirements,
    ) -> bool {
        let expected = server.expected_run_time(&requirements.route);
        let start = now + wait;
        let run_time = Micros::new((expected.get() as f64 * Self::RUN_TIME_MARGIN_FACTOR) as u64);
        let short_wait =
            Micros::from(requirements.target_latency).get() as f64 * Self::SHORT_WAIT_FRACTION;
        let is_in_time = start + run_time <= requirements.target;
        let is_short = wait.get() as f64 <= short_wait || wait <= Self::NEGLIGIBLE_WAIT.into();
        // One waiting call keeps the next free slot busy.
        let is_next = self.waiting.is_empty();
        if Self::is_short_call(server, requirements) && wait <= requirements.target_latency.into() {
            return start + run_time <= requirements.deadline;
        }
        (is_in_time || is_short || is_next) && start + half(expected) <= requirements.deadline
    }

    fn is_short_call(server: &ServerSlots, requirements: &CallRequirements) -> bool {
        server
            .relative_slot_time(&requirements.route)
            .is_some_and(|part| part <= Self::SHORT_CALL_FRACTION)
    }

    /// Returns the expected wait of a call of `route` with the calls that overtake it.
    fn wait_with_overtaking(&self, route: &RouteName, expected: Micros) -> Micros {
        let factor = self.overtaking_factors.get(route).copied().unwrap_or(1.0).max(1.0);
        Micros::new((expected.get() as f64 * factor) as u64)
    }

    fn record_overtaking(&mut self, now: Instant, waiting: &WaitingCall) {
        let waited = now.since(waiting.queued_at).get() as f64;
        let factor =
            (waited / waiting.expected_wait.get().max(1) as f64).min(Self::MAX_OVERTAKING_FACTOR);
        let route = &waiting.requirements.route;
        if !self.overtaking_factors.contains_key(route)
            && self.overtaking_factors.len() < ServiceTimes::MAX_ROUTES
        {
            self.overtaking_factors.insert(route.clone(), 1.0);
        }
        if let Some(mean) = self.overtaking_factors.get_mut(route) {
            *mean += Self::NEWEST_OVERTAKING_WEIGHT * (factor - *mean);
        }
    }

    /// Returns the expected wait behind the calls before `position`.
    fn expected_wait(&self, server: &ServerSlots, position: QueuePosition) -> Micros {
        let ahead = self.waiting.range(..position).map(|(_, waiting)| waiting);
        server.time_until_free(work(server, ahead))
    }

    /// Returns the expected time until a slot is free after all waiting calls got one.
    fn drain_time(&self, server: &ServerSlots) -> Micros {
        server.time_until_free(work(server, self.waiting.values()))
    }
}

fn work<'a>(server: &ServerSlots, calls: impl Iterator<Item = &'a WaitingCall>) -> Micros {
    let run_times = calls.map(|call| server.expected_run_time(&call.requirements.route).get());
    Micros::new(run_times.sum())
}

const fn half(span: Micros) -> Micros {
    Micros::new(span.get() / 2)
}
