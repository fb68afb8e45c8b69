//! The queue in front of a backend server.

use crate::RefusalReason;
use crate::fleet::server_slots::ServerSlots;
use crate::fleet::target_queue::TargetQueue;
use crate::fleet::{Admission, CallRequirements, QueueTicket, QueueWakeup};
use crate::units::{Instant, Micros};

/// Queues calls for one backend server, which runs no more calls at a time than it has slots.
///
/// Handles more calls than the server can run.
#[derive(Debug, Default)]
pub struct CallQueue {
    server: ServerSlots,
    next_ticket: u64,
    waiting: TargetQueue,
}

impl CallQueue {
    /// The largest number of waiting calls. Bounds the memory of a node.
    pub const MAX_WAITING: usize = 1_024;

    /// Creates a queue without slots, for a server that is not known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of calls that the server runs at a time. Returns the waiting calls that now
    /// run or are refused.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<QueueWakeup> {
        self.server.slots = slots;
        self.fill_slots(now)
    }

    /// Decides whether a call that arrives runs, waits or is refused.
    pub fn admit(&mut self, now: Instant, requirements: CallRequirements) -> Admission {
        if self.server.has_free() && self.waiting.len() == 0 {
            self.server.running += 1;
            return Admission::Run;
        }
        let ticket = QueueTicket::new(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.admit(now, &self.server, ticket, requirements)
    }

    /// Removes a waiting call. Returns false if it no longer waits.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        self.waiting.cancel(ticket)
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
            self.server.times.record(&requirements.route, took);
        }
        self.server.running = self.server.running.saturating_sub(1);
        self.fill_slots(now)
    }

    /// Refuses every waiting call and returns the wakeups that tell them so.
    pub fn refuse_all(&mut self, reason: RefusalReason) -> Vec<QueueWakeup> {
        let refuse = |(ticket, _)| QueueWakeup { ticket, refused: Some((reason, Micros::new(0))) };
        self.waiting.take_all().into_iter().map(refuse).collect()
    }

    /// Returns the number of running calls and of waiting calls that run before a call like
    /// `requirements`.
    pub fn calls_ahead(&self, requirements: &CallRequirements) -> u32 {
        let next_ticket = QueueTicket::new(self.next_ticket);
        let waiting = self.waiting.calls_ahead(requirements, next_ticket);
        self.server.running + u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Returns the mean run time of a call; `None` before the first one has ended.
    pub fn mean_time(&self) -> Option<Micros> {
        self.server.times.mean()
    }

    /// Gives free slots to waiting calls and refuses those that would miss their deadline.
    fn fill_slots(&mut self, now: Instant) -> Vec<QueueWakeup> {
        let mut wakeups = Vec::new();
        while self.server.has_free() {
            let Some(wakeup) = self.waiting.pop(now, &self.server) else { break };
            self.server.running += u32::from(wakeup.refused.is_none());
            wakeups.push(wakeup);
        }
        wakeups
    }
}
