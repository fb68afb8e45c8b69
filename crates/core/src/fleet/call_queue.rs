//! The queue in front of a backend server.

use std::collections::{BTreeMap, HashMap};

use crate::RefusalReason;
use crate::fleet::{Admission, CallRequirements, QueueWakeup, ServiceTimes};
use crate::ids::RouteName;
use crate::units::{Instant, Micros, Millis};

/// A call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// The queue in front of one backend server, which gets no more calls than it has slots.
///
/// Answers the load pattern in which more calls come than the server can run. The most urgent
/// priority goes first, and within one the call whose answer is due first: calls that a
/// running call makes have short targets and pass those that begin new work, which would only
/// wait for them. A call is refused at its arrival if it would be late and the queue is not
/// short, so that those which are let in are in time; the wait that is expected takes in the
/// calls that will come later and overtake it, as learned from earlier waits. A call that is
/// short beside the others of the server may also wait for as long as its target latency.
#[derive(Debug)]
pub struct CallQueue {
    slots: u32,
    running: u32,
    /// In the order in which they run.
    waiting: BTreeMap<QueuePosition, WaitingCall>,
    positions: BTreeMap<QueueTicket, QueuePosition>,
    next_ticket: u64,
    times: ServiceTimes,
    /// How much longer calls of each route waited than it seemed when they came, because
    /// others overtook them. Begins at 1, so that a first odd wait does not decide.
    overtaking_factors: HashMap<RouteName, f64>,
}

/// A call that waits, and what was expected of its wait.
#[derive(Debug, Clone)]
struct WaitingCall {
    requirements: CallRequirements,
    queued_at: Instant,
    /// The wait that the calls before it made likely, without those that overtake it.
    expected_wait: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: u8,
    target: Instant,
    ticket: QueueTicket,
}

impl CallQueue {
    /// The largest number of calls that wait; bounds the memory of a node.
    pub const MAX_WAITING: usize = 1_024;
    /// A wait up to this part of the target latency is allowed also to a call that will be
    /// late: a server that is slower than the target still serves.
    const SHORT_WAIT_FRACTION: f64 = 0.08;
    /// A wait up to this is short in any case: refusing a call that a running call made wastes
    /// the work of both.
    const NEGLIGIBLE_WAIT: Millis = Millis::new(20);
    /// A call that takes at most this part of the time of those that hold the slots is short:
    /// late, it is still worth more for each second of a slot than a long one in time, and it
    /// may be made by a running call, whose work would be lost with it.
    const SHORT_CALL_FRACTION: f64 = 0.3;
    /// The weight of the newest wait in what is learned of overtaking.
    const NEWEST_OVERTAKING_WEIGHT: f64 = 0.05;
    /// A longer wait than this many times the expected one says no more.
    const MAX_OVERTAKING_FACTOR: f64 = 8.0;
    /// The part of the expected time by which a call must fit before its target; the rest
    /// covers the spread.
    const RUN_TIME_MARGIN_FACTOR: f64 = 1.5;

    /// A queue for a server that is not known yet.
    pub fn new() -> Self {
        Self {
            slots: 0,
            running: 0,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_ticket: 0,
            times: ServiceTimes::default(),
            overtaking_factors: HashMap::new(),
        }
    }

    /// Sets the number of calls that the server runs at a time.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<QueueWakeup> {
        self.slots = slots;
        self.fill_slots(now)
    }

    /// Decides on a call that arrives.
    pub fn admit(&mut self, now: Instant, requirements: CallRequirements) -> Admission {
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Admission::Run;
        }
        let position = QueuePosition {
            priority: requirements.priority,
            target: requirements.target,
            ticket: QueueTicket(self.next_ticket),
        };
        let expected_wait = self.time_until_slot(
            self.waiting.range(..position).map(|(_, waiting)| &waiting.requirements),
        );
        let wait = self.wait_with_overtaking(&requirements.route, expected_wait);
        let refuse =
            |reason| Admission::Refused { reason, retry_after: self.time_until_queue_drains() };
        if self.waiting.len() >= Self::MAX_WAITING {
            return refuse(RefusalReason::QueueFull);
        }
        if !self.should_wait(now, wait, &requirements) {
            return refuse(RefusalReason::DeadlineTooNear);
        }
        self.next_ticket += 1;
        self.waiting.insert(position, WaitingCall { requirements, queued_at: now, expected_wait });
        self.positions.insert(position.ticket, position);
        Admission::Wait(position.ticket)
    }

    /// Takes a waiting call out. Whether it was still waiting.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        let Some(position) = self.positions.remove(&ticket) else { return false };
        self.waiting.remove(&position).is_some()
    }

    /// Ends a call that ran, for `took` if it ran to its end.
    pub fn end(
        &mut self,
        now: Instant,
        requirements: &CallRequirements,
        took: Option<Micros>,
    ) -> Vec<QueueWakeup> {
        if let Some(took) = took {
            self.times.record(&requirements.route, took);
        }
        self.running = self.running.saturating_sub(1);
        self.fill_slots(now)
    }

    /// Refuses every call that waits.
    pub fn refuse_all(&mut self, reason: RefusalReason) -> Vec<QueueWakeup> {
        self.waiting.clear();
        let tickets = std::mem::take(&mut self.positions).into_keys();
        let refuse = |ticket| QueueWakeup { ticket, refused: Some((reason, Micros::new(0))) };
        tickets.map(refuse).collect()
    }

    /// The calls that run, and those that wait and go before a call like `requirements`.
    pub fn calls_ahead(&self, requirements: &CallRequirements) -> u32 {
        let position = QueuePosition {
            priority: requirements.priority,
            target: requirements.target,
            ticket: QueueTicket(self.next_ticket),
        };
        self.running + u32::try_from(self.waiting.range(..position).count()).unwrap_or(u32::MAX)
    }

    /// The mean time of a call; `None` before the first one ended.
    pub fn mean_time(&self) -> Option<Micros> {
        self.times.mean()
    }

    /// Gives free slots to waiting calls.
    fn fill_slots(&mut self, now: Instant) -> Vec<QueueWakeup> {
        let mut wakeups = Vec::new();
        while self.running < self.slots {
            let Some((position, waiting)) = self.waiting.pop_first() else { break };
            self.positions.remove(&position.ticket);
            self.record_overtaking(now, &waiting);
            let requirements = waiting.requirements;
            let misses_deadline =
                now + half(self.expected_run_time(&requirements)) > requirements.deadline;
            let refused = misses_deadline
                .then(|| (RefusalReason::DeadlineTooNear, self.time_until_queue_drains()));
            if !misses_deadline {
                self.running += 1;
            }
            wakeups.push(QueueWakeup { ticket: position.ticket, refused });
        }
        wakeups
    }

    /// Whether a call that gets a slot after `wait` should wait for it.
    fn should_wait(&self, now: Instant, wait: Micros, requirements: &CallRequirements) -> bool {
        let expected = self.expected_run_time(requirements);
        let start = now + wait;
        let run_time = Micros::new((expected.get() as f64 * Self::RUN_TIME_MARGIN_FACTOR) as u64);
        let short_wait =
            Micros::from(requirements.target_latency).get() as f64 * Self::SHORT_WAIT_FRACTION;
        let is_in_time = start + run_time <= requirements.target;
        let is_short = wait.get() as f64 <= short_wait || wait <= Self::NEGLIGIBLE_WAIT.into();
        // One call that waits keeps a slot busy that becomes free.
        let is_next = self.waiting.is_empty();
        if self.is_short_call(requirements) && wait <= requirements.target_latency.into() {
            return start + run_time <= requirements.deadline;
        }
        (is_in_time || is_short || is_next) && start + half(expected) <= requirements.deadline
    }

    fn is_short_call(&self, requirements: &CallRequirements) -> bool {
        self.times
            .relative_slot_time(&requirements.route)
            .is_some_and(|part| part <= Self::SHORT_CALL_FRACTION)
    }

    /// The wait of a call of `route` that seems to be `expected`.
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

    /// How long until a slot is free after the calls `calls_ahead` have got one each.
    fn time_until_slot<'a>(
        &self,
        calls_ahead: impl Iterator<Item = &'a CallRequirements>,
    ) -> Micros {
        let mean_run_time = self.times.mean().map_or(0, Micros::get);
        let calls_ahead: u64 =
            calls_ahead.map(|requirements| self.expected_run_time(requirements).get()).sum();
        Micros::new((mean_run_time + calls_ahead) / u64::from(self.slots.max(1)))
    }

    /// How long until a slot is free after all calls that wait.
    fn time_until_queue_drains(&self) -> Micros {
        self.time_until_slot(self.waiting.values().map(|waiting| &waiting.requirements))
    }

    /// How long a call is likely to run; nothing before the first call has ended.
    fn expected_run_time(&self, requirements: &CallRequirements) -> Micros {
        self.times.expected(&requirements.route).unwrap_or_default()
    }
}

const fn half(span: Micros) -> Micros {
    Micros::new(span.get() / 2)
}

impl Default for CallQueue {
    fn default() -> Self {
        Self::new()
    }
}
