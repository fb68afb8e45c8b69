//! The admission control of a backend server.

use std::collections::VecDeque;

use crate::RefusalReason;
use crate::config::Priority;
use crate::traffic::{
    Admission, AdmissionCounts, AdmissionLimits, Deadline, LoadReport, Ticket, Wakeup,
};
use crate::units::{Instant, Micros};

/// Decides which calls the backend server beside this node runs, and when.
///
/// Starts no call beyond the limits. Interactive calls go first; a call that is not expected to
/// end before its deadline is refused at once.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    /// The reason with which the controller refuses all new calls; `None` while it is open.
    closed: Option<RefusalReason>,
    /// The waiting calls by priority, in the order of arrival.
    queues: [VecDeque<Waiting>; PRIORITIES],
    /// The smoothed running time of calls by priority; zero until one has ended.
    service_time: [Micros; PRIORITIES],
    next_ticket: u64,
    counts: AdmissionCounts,
}

const PRIORITIES: usize = Priority::ALL.len();

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    deadline: Deadline,
}

impl AdmissionController {
    /// Creates an open controller without any calls.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            closed: None,
            queues: Default::default(),
            service_time: Default::default(),
            next_ticket: 0,
            counts: AdmissionCounts::default(),
        }
    }

    /// Returns the number of calls in each state since the controller was created.
    pub const fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Returns the load to report to the nodes of callers.
    pub const fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: (self.counts.running + self.counts.queued) as u32,
            slots: self.limits.slots,
        }
    }

    /// Decides on a call that arrives. The [`Wakeup`] refuses a waiting background call that the
    /// new call displaces from a full queue.
    pub fn admit(
        &mut self,
        now: Instant,
        priority: Priority,
        deadline: Deadline,
    ) -> (Admission, Option<Wakeup>) {
        self.counts.arrived += 1;
        if let Some(reason) = self.refusal_reason(now, priority, deadline) {
            self.counts.refused += 1;
            return (Admission::Refused(reason), None);
        }
        if self.has_free_slot() && self.queues.iter().all(VecDeque::is_empty) {
            self.counts.running += 1;
            return (Admission::Run, None);
        }
        self.enqueue(priority, deadline)
    }

    /// Ends a running call and starts waiting calls that can run now. `took` is its running time,
    /// or `None` if that says nothing about the backend server's speed.
    pub fn end(&mut self, now: Instant, priority: Priority, took: Option<Micros>) -> Vec<Wakeup> {
        self.counts.running -= 1;
        self.counts.ended += 1;
        if let Some(took) = took {
            let smoothed = &mut self.service_time[index(priority)];
            *smoothed = smooth(*smoothed, took);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting call and returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for queue in &mut self.queues {
            if let Some(at) = queue.iter().position(|waiting| waiting.ticket == ticket) {
                queue.remove(at);
                self.counts.queued -= 1;
                self.counts.cancelled += 1;
                return true;
            }
        }
        false
    }

    /// Changes the limits. Running calls beyond a lower limit are not interrupted. Without slots or
    /// connections, all waiting calls are refused.
    pub fn set_limits(&mut self, now: Instant, limits: AdmissionLimits) -> Vec<Wakeup> {
        self.limits = limits;
        self.start_waiting(now)
    }

    /// Refuses new calls with `reason`. Waiting and running calls are not affected.
    pub fn close(&mut self, reason: RefusalReason) {
        self.closed = Some(reason);
    }

    /// Admits new calls again after [`Self::close`].
    pub fn open(&mut self) {
        self.closed = None;
    }

    fn refusal_reason(
        &self,
        now: Instant,
        priority: Priority,
        deadline: Deadline,
    ) -> Option<RefusalReason> {
        if self.closed.is_some() {
            return self.closed;
        }
        if self.limits.running() == 0 {
            return Some(RefusalReason::BackendDown);
        }
        if !self.ends_in_time(now, priority, deadline, self.rounds_ahead(priority)) {
            return Some(RefusalReason::DeadlineTooNear);
        }
        let is_full = !self.has_free_slot() && self.queued() >= self.limits.queued();
        (is_full && !self.can_displace(priority)).then_some(RefusalReason::QueueFull)
    }

    /// Returns how many rounds of running calls must end before a new call of `priority` starts.
    fn rounds_ahead(&self, priority: Priority) -> u64 {
        let ahead: usize = self.queues[..=index(priority)].iter().map(VecDeque::len).sum();
        let wait_for =
            (self.counts.running as usize + ahead + 1).saturating_sub(self.limits.running());
        wait_for.div_ceil(self.limits.running().max(1)) as u64
    }

    fn ends_in_time(
        &self,
        now: Instant,
        priority: Priority,
        deadline: Deadline,
        rounds: u64,
    ) -> bool {
        if deadline.has_passed(now) {
            return false;
        }
        // An idle backend server gets a call in any case, so that an estimate that is too high
        // gets corrected.
        if self.counts.running == 0 {
            return true;
        }
        let service_time = self.service_time[index(priority)].get();
        service_time.saturating_mul(rounds + 1) <= deadline.remaining(now).get()
    }

    fn can_displace(&self, priority: Priority) -> bool {
        priority == Priority::Interactive && !self.queues[index(Priority::Background)].is_empty()
    }

    fn enqueue(&mut self, priority: Priority, deadline: Deadline) -> (Admission, Option<Wakeup>) {
        let displaced = if self.queued() >= self.limits.queued() {
            self.queues[index(Priority::Background)].pop_back()
        } else {
            None
        };
        if displaced.is_some() {
            self.counts.queued -= 1;
            self.counts.refused += 1;
        }
        let ticket = Ticket::new(self.next_ticket);
        self.next_ticket += 1;
        self.queues[index(priority)].push_back(Waiting { ticket, deadline });
        self.counts.queued += 1;
        let wakeup = displaced.map(|waiting| Wakeup {
            ticket: waiting.ticket,
            refused: Some(RefusalReason::QueueFull),
        });
        (Admission::Wait(ticket), wakeup)
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        while (self.has_free_slot() || self.limits.running() == 0)
            && let Some((priority, waiting)) = self.pop()
        {
            self.counts.queued -= 1;
            let refused = if self.limits.running() == 0 {
                Some(RefusalReason::BackendDown)
            } else if self.ends_in_time(now, priority, waiting.deadline, 0) {
                None
            } else {
                Some(RefusalReason::DeadlineTooNear)
            };
            match refused {
                None => self.counts.running += 1,
                Some(_) => self.counts.refused += 1,
            }
            wakeups.push(Wakeup { ticket: waiting.ticket, refused });
        }
        wakeups
    }

    fn pop(&mut self) -> Option<(Priority, Waiting)> {
        Priority::ALL
            .into_iter()
            .find_map(|priority| Some((priority, self.queues[index(priority)].pop_front()?)))
    }

    fn queued(&self) -> usize {
        self.counts.queued as usize
    }

    fn has_free_slot(&self) -> bool {
        (self.counts.running as usize) < self.limits.running()
    }
}

const fn index(priority: Priority) -> usize {
    match priority {
        Priority::Interactive => 0,
        Priority::Background => 1,
    }
}

/// Returns the moving average after a new sample: seven eighths `old`, one eighth `sample`.
fn smooth(old: Micros, sample: Micros) -> Micros {
    match old.get() {
        0 => sample,
        old => Micros::new((old * 7 + sample.get()) / 8),
    }
}
