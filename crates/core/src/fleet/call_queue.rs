//! The queue in front of a backend server.

use std::collections::{BTreeMap, HashMap};

use crate::RefusalReason;
use crate::fleet::{
    Admission, BackendWarmth, CallRank, CallRequirements, ColdLimiter, ColdRule, QueueWakeup,
    ServiceTimes,
};
use crate::ids::RouteName;
use crate::units::{Instant, Micros, Millis};

/// Identifies a call that waits in a [`CallQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// Queues calls for one backend server, which runs no more calls at a time than it has slots.
///
/// Handles more calls than the server can run. Calls run by rank, then by the earliest target:
/// calls that a running call makes have short targets and so overtake new work, which would only
/// wait for them. A call is refused on arrival if it would be late and the queue is not short, so
/// that admitted calls are answered in time. The expected wait includes calls that arrive later and
/// overtake it, estimated from earlier waits. A call that is short compared with the server's other
/// calls may also wait for as long as its target latency.
#[derive(Debug)]
pub struct CallQueue {
    slots: u32,
    running: u32,
    /// The waiting calls, in the order in which they run.
    waiting: BTreeMap<QueuePosition, WaitingCall>,
    positions: BTreeMap<QueueTicket, QueuePosition>,
    next_ticket: u64,
    times: ServiceTimes,
    /// Limits the calls while the server is cold.
    cold: ColdLimiter,
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

impl CallQueue {
    /// The largest number of waiting calls. Bounds the memory of a node.
    pub const MAX_WAITING: usize = 1_024;
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

    /// Creates a queue without slots, for a server that is not known yet.
    pub fn new() -> Self {
        Self {
            slots: 0,
            running: 0,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_ticket: 0,
            times: ServiceTimes::default(),
            cold: ColdLimiter::default(),
            overtaking_factors: HashMap::new(),
        }
    }

    /// Sets the number of calls that the server runs at a time. Returns the waiting calls that now
    /// run or are refused.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<QueueWakeup> {
        self.slots = slots;
        self.fill_slots(now)
    }

    /// Decides whether a call that arrives runs, waits or is refused.
    pub fn admit(&mut self, now: Instant, requirements: CallRequirements) -> Admission {
        if self.running < self.slots && self.waiting.is_empty() && self.cold.try_admit(now) {
            self.running += 1;
            return Admission::Run;
        }
        let position = QueuePosition {
            rank: requirements.rank,
            target: requirements.target,
            ticket: QueueTicket(self.next_ticket),
        };
        let expected_wait = self.time_until_slot(
            self.waiting.range(..position).map(|(_, waiting)| &waiting.requirements),
        );
        let cold_wait = self.cold_wait(now, self.waiting.range(..position).count());
        let expected_wait = expected_wait.max(cold_wait);
        let wait = self.wait_with_overtaking(&requirements.route, expected_wait);
        let refuse =
            |reason| Admission::Refused { reason, retry_after: self.time_until_queue_drains() };
        if self.waiting.len() >= Self::MAX_WAITING {
            return refuse(RefusalReason::QueueFull);
        }
        if !self.should_wait(now, wait, &requirements) {
            if cold_wait.get() > 0 {
                return Admission::Refused {
                    reason: RefusalReason::ColdServer,
                    retry_after: self.cold_wait(now, self.waiting.len()),
                };
            }
            return refuse(RefusalReason::DeadlineTooNear);
        }
        self.next_ticket += 1;
        self.waiting.insert(position, WaitingCall { requirements, queued_at: now, expected_wait });
        self.positions.insert(position.ticket, position);
        Admission::Wait(position.ticket)
    }

    /// Updates the limit on the calls of a cold server and what is known of the server's warmth.
    /// Returns the waiting calls that now run or are refused.
    pub fn set_cold(
        &mut self,
        now: Instant,
        rule: ColdRule,
        warmth: Option<BackendWarmth>,
    ) -> Vec<QueueWakeup> {
        self.cold.update(now, rule, warmth);
        self.fill_slots(now)
    }

    /// Records that the server may have restarted at `now`. Returns whether this limits its calls,
    /// and the waiting calls that are refused.
    pub fn doubt_server(&mut self, now: Instant) -> (bool, Vec<QueueWakeup>) {
        (self.cold.doubt(now), self.fill_slots(now))
    }

    /// Returns since when the server may have restarted without an announcement, if its calls are
    /// limited.
    pub fn doubted_at(&self) -> Option<Instant> {
        self.cold.doubted_at()
    }

    /// Gives the calls to waiting calls that a cold server admits by now.
    pub fn admit_waiting(&mut self, now: Instant) -> Vec<QueueWakeup> {
        self.fill_slots(now)
    }

    /// Returns the time until a cold server admits the first waiting call; `None` if no call waits
    /// for that.
    pub fn next_cold_admission(&self, now: Instant) -> Option<Micros> {
        let waits_for_cold =
            !self.waiting.is_empty() && self.running < self.slots && self.cold.is_limiting();
        waits_for_cold.then(|| self.cold.wait(now, 0)).flatten()
    }

    /// Removes a waiting call. Returns false if it no longer waits.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        let Some(position) = self.positions.remove(&ticket) else { return false };
        self.waiting.remove(&position).is_some()
    }

    /// Ends a running call, with its run time if it ran to its end. Returns the waiting calls that
    /// now run or are refused.
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

    /// Refuses every waiting call and returns the wakeups that tell them so.
    pub fn refuse_all(&mut self, reason: RefusalReason) -> Vec<QueueWakeup> {
        self.waiting.clear();
        let tickets = std::mem::take(&mut self.positions).into_keys();
        let refuse = |ticket| QueueWakeup { ticket, refused: Some((reason, Micros::new(0))) };
        tickets.map(refuse).collect()
    }

    /// Returns the number of running calls and of waiting calls that run before a call like
    /// `requirements`.
    pub fn calls_ahead(&self, requirements: &CallRequirements) -> u32 {
        let position = QueuePosition {
            rank: requirements.rank,
            target: requirements.target,
            ticket: QueueTicket(self.next_ticket),
        };
        self.running + u32::try_from(self.waiting.range(..position).count()).unwrap_or(u32::MAX)
    }

    /// Returns the mean run time of a call; `None` before the first one has ended.
    pub fn mean_time(&self) -> Option<Micros> {
        self.times.mean()
    }

    /// Gives free slots to waiting calls and refuses those that would miss their deadline.
    fn fill_slots(&mut self, now: Instant) -> Vec<QueueWakeup> {
        let mut wakeups = self.refuse_late_for_cold(now);
        while self.running < self.slots && !self.waiting.is_empty() {
            let is_admitted = self.cold.wait(now, 0) == Some(Micros::new(0));
            if !is_admitted {
                break;
            }
            let Some((position, waiting)) = self.waiting.pop_first() else { break };
            self.positions.remove(&position.ticket);
            self.record_overtaking(now, &waiting);
            let requirements = waiting.requirements;
            let misses_deadline =
                now + half(self.expected_run_time(&requirements)) > requirements.deadline;
            let refused = misses_deadline
                .then(|| (RefusalReason::DeadlineTooNear, self.time_until_queue_drains()));
            if !misses_deadline {
                self.cold.try_admit(now);
                self.running += 1;
            }
            wakeups.push(QueueWakeup { ticket: position.ticket, refused });
        }
        wakeups
    }

    /// Refuses the waiting calls that a cold server admits too late for their deadlines.
    fn refuse_late_for_cold(&mut self, now: Instant) -> Vec<QueueWakeup> {
        if !self.cold.is_limiting() {
            return Vec::new();
        }
        let mut late = Vec::new();
        for (place, (position, waiting)) in self.waiting.iter().enumerate() {
            let ahead = place - late.len();
            let start = now + self.cold_wait(now, ahead);
            let run_time = half(self.expected_run_time(&waiting.requirements));
            if start + run_time > waiting.requirements.deadline {
                late.push(*position);
            }
        }
        let retry_after = self.cold_wait(now, self.waiting.len() - late.len());
        let refuse = |position: QueuePosition| {
            self.waiting.remove(&position);
            self.positions.remove(&position.ticket);
            let refused = Some((RefusalReason::ColdServer, retry_after));
            QueueWakeup { ticket: position.ticket, refused }
        };
        late.into_iter().map(refuse).collect()
    }

    /// Returns how long a call with `ahead` others before it waits because the server is cold. While
    /// the limit is not known, a call may wait in vain until its deadline.
    fn cold_wait(&self, now: Instant, ahead: usize) -> Micros {
        self.cold.wait(now, ahead).unwrap_or_default()
    }

    /// Returns whether a call that gets a slot after `wait` should wait for it.
    fn should_wait(&self, now: Instant, wait: Micros, requirements: &CallRequirements) -> bool {
        let expected = self.expected_run_time(requirements);
        let start = now + wait;
        let run_time = Micros::new((expected.get() as f64 * Self::RUN_TIME_MARGIN_FACTOR) as u64);
        let short_wait =
            Micros::from(requirements.target_latency).get() as f64 * Self::SHORT_WAIT_FRACTION;
        let is_in_time = start + run_time <= requirements.target;
        let is_short = wait.get() as f64 <= short_wait || wait <= Self::NEGLIGIBLE_WAIT.into();
        // One waiting call keeps the next free slot busy.
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

    /// Returns the expected time until a slot is free after each of `calls_ahead` got one.
    fn time_until_slot<'a>(
        &self,
        calls_ahead: impl Iterator<Item = &'a CallRequirements>,
    ) -> Micros {
        let mean_run_time = self.times.mean().map_or(0, Micros::get);
        let calls_ahead: u64 =
            calls_ahead.map(|requirements| self.expected_run_time(requirements).get()).sum();
        Micros::new((mean_run_time + calls_ahead) / u64::from(self.slots.max(1)))
    }

    /// Returns the expected time until a slot is free after all waiting calls got one.
    fn time_until_queue_drains(&self) -> Micros {
        self.time_until_slot(self.waiting.values().map(|waiting| &waiting.requirements))
    }

    /// Returns the expected run time of a call; zero before the first call has ended.
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
