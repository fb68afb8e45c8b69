//! The queue in front of a backend server.

use crate::RefusalReason;
use crate::fleet::server_slots::ServerSlots;
use crate::fleet::target_queue::TargetQueue;
use crate::fleet::value_queue::ValueQueue;
use crate::fleet::{
    Admission, BackendWarmth, CallRequirements, CallValue, ColdLimiter, ColdRule, QueuePolicy,
    QueueTicket, QueueWakeup,
};
use crate::units::{Instant, Micros, Percent};

/// Queues calls for one backend server, which runs no more calls at a time than it has slots.
///
/// Calls beyond the slots, or beyond the rate of a cold server, wait or are refused as the
/// [`QueuePolicy`] says.
#[derive(Debug, Default)]
pub struct CallQueue {
    server: ServerSlots,
    /// Limits the calls while the server is cold.
    cold: ColdLimiter,
    next_ticket: u64,
    waiting: Waiting,
}

/// The waiting calls, ordered as the policy says.
#[derive(Debug)]
enum Waiting {
    ByTarget(TargetQueue),
    ByValue(Box<ValueQueue>),
}

impl Default for Waiting {
    fn default() -> Self {
        Self::ByTarget(TargetQueue::default())
    }
}

impl CallQueue {
    /// The largest number of waiting calls. Bounds the memory of a node.
    pub const MAX_WAITING: usize = 1_024;

    /// Creates a queue without slots, for a server that is not known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the order of the calls and the rule by which they are refused. Waiting calls stay.
    pub fn set_policy(&mut self, now: Instant, policy: QueuePolicy) {
        let has_teams = policy == QueuePolicy::TeamValue;
        match (policy, &mut self.waiting) {
            (QueuePolicy::Target, Waiting::ByTarget(_)) => {}
            (QueuePolicy::Target, Waiting::ByValue(old)) => {
                let mut new = TargetQueue::default();
                for (ticket, requirements) in old.take_all() {
                    new.readmit(now, &self.server, ticket, requirements);
                }
                self.waiting = Waiting::ByTarget(new);
            }
            (_, Waiting::ByValue(queue)) => queue.set_has_teams(has_teams),
            (_, Waiting::ByTarget(old)) => {
                let mut new = ValueQueue::new(has_teams);
                for (ticket, requirements) in old.take_all() {
                    new.readmit(ticket, requirements);
                }
                self.waiting = Waiting::ByValue(Box::new(new));
            }
        }
    }

    /// Sets the number of calls that the server runs at a time. Returns the waiting calls that now
    /// run or are refused.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<QueueWakeup> {
        self.set_capacity(now, slots, slots)
    }

    /// Sets the number of calls that the server runs at a time, like [`Self::set_slots`], and the
    /// number of calls that may run now. They differ while calls hang, or while calls other than
    /// those of this queue hold slots. Returns the waiting calls that now run or are refused.
    pub fn set_capacity(&mut self, now: Instant, slots: u32, limit: u32) -> Vec<QueueWakeup> {
        self.server.slots = slots;
        self.server.limit = limit;
        self.fill_slots(now)
    }

    /// Records the server's current service time relative to its usual one.
    pub fn record_rate(&mut self, now: Instant, service_time: Percent) {
        self.server.record_rate(now, service_time);
    }

    /// Decides whether a call that arrives runs, waits or is refused.
    pub fn admit(&mut self, now: Instant, requirements: CallRequirements) -> Admission {
        self.server.refresh(now);
        if let Waiting::ByValue(queue) = &mut self.waiting {
            queue.record_arrival(now, &self.server, &requirements);
        }
        if self.server.has_free() && self.waiting.len() == 0 && self.cold.try_admit(now) {
            if let Waiting::ByValue(queue) = &mut self.waiting {
                queue.record_start(now, &self.server, &requirements);
            }
            self.server.running += 1;
            return Admission::Run;
        }
        if let Some(refused) = self.refused_for_cold(now, &requirements) {
            return refused;
        }
        let ticket = QueueTicket::new(self.next_ticket);
        self.next_ticket += 1;
        match &mut self.waiting {
            Waiting::ByTarget(queue) => queue.admit(now, &self.server, ticket, requirements),
            Waiting::ByValue(queue) => queue.admit(now, &self.server, ticket, requirements),
        }
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

    /// Runs the waiting calls that a cold server admits by now. Returns the waiting calls that now
    /// run or are refused.
    pub fn admit_waiting(&mut self, now: Instant) -> Vec<QueueWakeup> {
        self.fill_slots(now)
    }

    /// Returns the time until a cold server admits the first waiting call; `None` if no call waits
    /// for that.
    pub fn next_cold_admission(&self, now: Instant) -> Option<Micros> {
        let waits_for_cold =
            self.waiting.len() > 0 && self.server.has_free() && self.cold.is_limiting();
        waits_for_cold.then(|| self.cold.wait(now, 0)).flatten()
    }

    /// Returns the waiting calls that [`Self::admit`] refused since this was last called.
    pub fn take_displaced(&mut self) -> Vec<QueueWakeup> {
        match &mut self.waiting {
            Waiting::ByTarget(_) => Vec::new(),
            Waiting::ByValue(queue) => queue.take_displaced(),
        }
    }

    /// Removes a waiting call. Returns false if it no longer waits.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        match &mut self.waiting {
            Waiting::ByTarget(queue) => queue.cancel(ticket),
            Waiting::ByValue(queue) => queue.cancel(ticket),
        }
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
            self.server.refresh(now);
            self.server.record_time(&requirements.route, took);
        }
        self.server.running = self.server.running.saturating_sub(1);
        self.fill_slots(now)
    }

    /// Refuses every waiting call and returns the wakeups that tell them so.
    pub fn refuse_all(&mut self, reason: RefusalReason) -> Vec<QueueWakeup> {
        let refuse = |(ticket, _)| QueueWakeup { ticket, refused: Some((reason, Micros::new(0))) };
        let waiting = match &mut self.waiting {
            Waiting::ByTarget(queue) => queue.take_all(),
            Waiting::ByValue(queue) => queue.take_all(),
        };
        waiting.into_iter().map(refuse).collect()
    }

    /// Returns the number of running calls and of waiting calls that run before a call like
    /// `requirements`.
    pub fn calls_ahead(&self, requirements: &CallRequirements) -> u32 {
        let waiting = u32::try_from(self.waiting_ahead(requirements)).unwrap_or(u32::MAX);
        self.server.running.saturating_add(waiting)
    }

    /// Returns the server's current service time relative to its usual one; `None` if it does not
    /// report it.
    pub fn service_time(&self, now: Instant) -> Option<Percent> {
        self.server.service_time(now)
    }

    /// Returns the usual mean run time of a call; `None` before the first one has ended.
    pub fn mean_time(&self) -> Option<Micros> {
        self.server.usual_mean()
    }

    /// Returns the latest time at which a waiting call with `requirements` may get a slot.
    pub fn latest_start(&self, requirements: &CallRequirements) -> Instant {
        match &self.waiting {
            Waiting::ByTarget(_) => requirements.deadline,
            Waiting::ByValue(_) => {
                let run_time = self.server.expected_run_time(&requirements.route);
                CallValue::latest_start(run_time, requirements.deadline)
            }
        }
    }

    /// Returns the number of teams that are counted separately.
    pub fn teams_known(&self) -> usize {
        match &self.waiting {
            Waiting::ByTarget(_) => 0,
            Waiting::ByValue(queue) => queue.accounts(),
        }
    }

    /// Gives free slots to waiting calls and refuses those that can't be answered in time or
    /// are displaced.
    fn fill_slots(&mut self, now: Instant) -> Vec<QueueWakeup> {
        self.server.refresh(now);
        let mut wakeups = self.refuse_late_for_cold(now);
        while self.server.has_free() && self.cold.wait(now, 0) == Some(Micros::new(0)) {
            let Some(wakeup) = self.waiting.pop(now, &self.server) else { break };
            if wakeup.refused.is_none() {
                self.cold.try_admit(now);
                self.server.running += 1;
            }
            wakeups.push(wakeup);
        }
        if let Waiting::ByValue(queue) = &mut self.waiting {
            queue.refuse_hopeless(now, &self.server);
            wakeups.extend(queue.take_displaced());
        }
        wakeups
    }

    /// Refuses a call on arrival that a cold server admits too late for its target, unless no other
    /// call waits: one waiting call is always kept for the next admission.
    fn refused_for_cold(&self, now: Instant, requirements: &CallRequirements) -> Option<Admission> {
        if !self.cold.is_limiting() {
            return None;
        }
        let ahead = self.waiting_ahead(requirements);
        let wait = self.cold_wait(now, ahead);
        let answered = now + wait + self.server.expected_run_time(&requirements.route);
        let latest = match ahead {
            0 => requirements.deadline,
            _ => requirements.target.min(requirements.deadline),
        };
        (answered > latest).then(|| Admission::Refused {
            reason: RefusalReason::ColdServer,
            retry_after: self.cold_wait(now, self.waiting.len()),
        })
    }

    /// Refuses the waiting calls that a cold server admits too late for their deadlines.
    fn refuse_late_for_cold(&mut self, now: Instant) -> Vec<QueueWakeup> {
        if !self.cold.is_limiting() {
            return Vec::new();
        }
        let mut late = Vec::new();
        for (place, (ticket, requirements)) in
            self.waiting.in_order(now, &self.server).into_iter().enumerate()
        {
            let start = now + self.cold_wait(now, place - late.len());
            let run_time = self.server.expected_run_time(&requirements.route);
            if start + Micros::new(run_time.get() / 2) > requirements.deadline {
                late.push(ticket);
            }
        }
        let retry_after = self.cold_wait(now, self.waiting.len() - late.len());
        let refused = Some((RefusalReason::ColdServer, retry_after));
        for ticket in &late {
            self.cancel(*ticket);
        }
        late.into_iter().map(|ticket| QueueWakeup { ticket, refused }).collect()
    }

    /// Returns how long a call with `ahead` others before it waits because the server is cold. Zero
    /// while the limit is not known: the call then waits until it is, at most until its deadline.
    fn cold_wait(&self, now: Instant, ahead: usize) -> Micros {
        self.cold.wait(now, ahead).unwrap_or_default()
    }

    /// Returns the number of waiting calls that run before a new call with `requirements`.
    fn waiting_ahead(&self, requirements: &CallRequirements) -> usize {
        let next_ticket = QueueTicket::new(self.next_ticket);
        match &self.waiting {
            Waiting::ByTarget(queue) => queue.calls_ahead(requirements, next_ticket),
            Waiting::ByValue(queue) => queue.calls_ahead(&self.server, requirements, next_ticket),
        }
    }
}

impl Waiting {
    /// Returns the waiting calls in the order in which they run.
    fn in_order(
        &self,
        now: Instant,
        server: &ServerSlots,
    ) -> Vec<(QueueTicket, &CallRequirements)> {
        match self {
            Self::ByTarget(queue) => queue.in_order(),
            Self::ByValue(queue) => queue.in_order(now, server),
        }
    }

    fn len(&self) -> usize {
        match self {
            Self::ByTarget(queue) => queue.len(),
            Self::ByValue(queue) => queue.len(),
        }
    }

    fn pop(&mut self, now: Instant, server: &ServerSlots) -> Option<QueueWakeup> {
        match self {
            Self::ByTarget(queue) => queue.pop(now, server),
            Self::ByValue(queue) => queue.pop(now, server),
        }
    }
}
