//! The queue in front of a backend server.

use std::collections::BTreeMap;

use crate::RefusalReason;
use crate::fleet::{Admission, CallNeed, QueueWakeup, ServiceTimes};
use crate::units::{Instant, Micros};

/// A call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// The queue in front of one backend server, which gets no more calls than it has slots.
///
/// Answers the load pattern in which more calls come than the server can run: the most
/// urgent route goes first, within a route the oldest call; a call that would end after its
/// deadline is refused when that is known, at its arrival or when its turn comes.
#[derive(Debug)]
pub struct CallQueue {
    slots: u32,
    running: u32,
    /// In the order in which they run.
    waiting: BTreeMap<Rank, CallNeed>,
    ranks: BTreeMap<QueueTicket, Rank>,
    next: u64,
    times: ServiceTimes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    ticket: QueueTicket,
}

impl CallQueue {
    /// The largest number of calls that wait; bounds the memory of a door.
    pub const MAX_WAITING: usize = 1_024;

    /// A queue for a server that is not known yet.
    pub fn new() -> Self {
        Self {
            slots: 0,
            running: 0,
            waiting: BTreeMap::new(),
            ranks: BTreeMap::new(),
            next: 0,
            times: ServiceTimes::default(),
        }
    }

    /// Sets the number of calls that the server runs at a time.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<QueueWakeup> {
        self.slots = slots;
        self.fill(now)
    }

    /// Decides on a call that arrives.
    pub fn admit(&mut self, now: Instant, need: CallNeed) -> Admission {
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Admission::Run;
        }
        let rank = Rank { priority: need.priority, ticket: QueueTicket(self.next) };
        let ahead = self.waiting.range(..rank).count() + 1;
        let wait = self.wait_behind(ahead);
        let retry_after = self.wait_behind(self.waiting.len() + 1);
        if self.waiting.len() >= Self::MAX_WAITING {
            return Admission::Refused { reason: RefusalReason::QueueFull, retry_after };
        }
        if now + wait + self.expected(&need) > need.deadline {
            return Admission::Refused { reason: RefusalReason::DeadlineTooNear, retry_after };
        }
        self.next += 1;
        self.waiting.insert(rank, need);
        self.ranks.insert(rank.ticket, rank);
        Admission::Wait(rank.ticket)
    }

    /// Takes a waiting call out. Whether it was still waiting.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        let Some(rank) = self.ranks.remove(&ticket) else { return false };
        self.waiting.remove(&rank).is_some()
    }

    /// Ends a call that ran, for `took` if it ran to its end.
    pub fn end(&mut self, now: Instant, need: &CallNeed, took: Option<Micros>) -> Vec<QueueWakeup> {
        if let Some(took) = took {
            self.times.learn(&need.route, took);
        }
        self.running = self.running.saturating_sub(1);
        self.fill(now)
    }

    /// Refuses every call that waits.
    pub fn refuse_all(&mut self, reason: RefusalReason) -> Vec<QueueWakeup> {
        self.waiting.clear();
        let tickets = std::mem::take(&mut self.ranks).into_keys();
        let refuse = |ticket| QueueWakeup { ticket, refused: Some((reason, Micros::new(0))) };
        tickets.map(refuse).collect()
    }

    /// The calls that run.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// The calls that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// The mean time of a call; `None` before the first one ended.
    pub fn mean_time(&self) -> Option<Micros> {
        self.times.mean()
    }

    /// Gives free slots to waiting calls.
    fn fill(&mut self, now: Instant) -> Vec<QueueWakeup> {
        let mut wakeups = Vec::new();
        while self.running < self.slots {
            let Some((rank, need)) = self.waiting.pop_first() else { break };
            self.ranks.remove(&rank.ticket);
            let is_late = now + self.expected(&need) > need.deadline;
            let refused = is_late.then(|| {
                (RefusalReason::DeadlineTooNear, self.wait_behind(self.waiting.len() + 1))
            });
            if !is_late {
                self.running += 1;
            }
            wakeups.push(QueueWakeup { ticket: rank.ticket, refused });
        }
        wakeups
    }

    /// How long until `calls` waiting calls have got a slot.
    fn wait_behind(&self, calls: usize) -> Micros {
        let mean = self.times.mean().map_or(0, Micros::get);
        Micros::new(mean * calls as u64 / u64::from(self.slots.max(1)))
    }

    /// How long a call is likely to run. Half of what was learned, so that one slow call
    /// does not refuse those that still have time.
    fn expected(&self, need: &CallNeed) -> Micros {
        Micros::new(self.times.expected(&need.route).map_or(0, Micros::get) / 2)
    }
}

impl Default for CallQueue {
    fn default() -> Self {
        Self::new()
    }
}
