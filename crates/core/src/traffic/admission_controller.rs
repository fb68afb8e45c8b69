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
/// The number of running calls never exceeds the limits. Interactive calls go
/// first; a call that can't end before its deadline is refused at once.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    /// Why the controller refuses new calls, if it does.
    closed: Option<RefusalReason>,
    /// The waiting calls by priority, in the order of arrival.
    queues: [VecDeque<Waiting>; PRIORITIES],
    /// The smoothed time that a call of each priority runs; zero until one has ended.
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
    /// An open controller.
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

    /// The counts.
    pub const fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// The load for callers' nodes.
    pub const fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: (self.counts.running + self.counts.queued) as u32,
            slots: self.limits.slots,
        }
    }

    /// Decides on a call. `Wakeup`s concern calls that waited and give way to it.
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

    /// Ends a running call that took `took`, or whose time says nothing about the
    /// backend server's speed, and starts the calls that can run now.
    pub fn end(&mut self, now: Instant, priority: Priority, took: Option<Micros>) -> Vec<Wakeup> {
        self.counts.running -= 1;
        self.counts.ended += 1;
        if let Some(took) = took {
            let smoothed = &mut self.service_time[index(priority)];
            *smoothed = smooth(*smoothed, took);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting call; `false` if it does not wait any more.
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

    /// Changes the limits. Running calls beyond a smaller limit end in their own time.
    /// Without slots or connections, the calls that wait are refused.
    pub fn set_limits(&mut self, now: Instant, limits: AdmissionLimits) -> Vec<Wakeup> {
        self.limits = limits;
        self.start_waiting(now)
    }

    /// Refuses new calls with `reason`. Calls that wait or run are not affected.
    pub fn close(&mut self, reason: RefusalReason) {
        self.closed = Some(reason);
    }

    /// Takes new calls.
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

    /// The rounds of running calls that must end before a new call of `priority` starts.
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
        // One call runs in any case, so that an estimate that has become too high is corrected.
        if self.counts.running == 0 {
            return true;
        }
        let service_time = self.service_time[index(priority)].get();
        service_time.saturating_mul(rounds + 1) <= deadline.left(now).get()
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

/// The smoothed time after a new sample: seven eighths old, one eighth new.
fn smooth(old: Micros, sample: Micros) -> Micros {
    match old.get() {
        0 => sample,
        old => Micros::new((old * 7 + sample.get()) / 8),
    }
}
