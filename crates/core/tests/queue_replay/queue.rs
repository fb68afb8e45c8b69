//! A queue that follows one of the policies.

use std::collections::BTreeMap;

use almondsail_core::fleet::{Admission, CallQueue, QueuePolicy, QueueTicket, QueueWakeup};
use almondsail_core::units::Millis;

use super::call::{Call, at};
use super::policy::Policy;
use super::site::Site;

/// A queue that follows one of the policies.
pub enum Queue {
    Product { queue: Box<CallQueue>, waiting: BTreeMap<QueueTicket, Call> },
    Simple(SimpleQueue),
}

/// A queue with a fixed order of calls.
pub struct SimpleQueue {
    policy: Policy,
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(u64, u64), Call>,
}

/// Calls that begin to run and calls that are refused.
#[derive(Debug, Default)]
pub struct Step {
    pub begun: Vec<Call>,
    pub refused: Vec<Call>,
}

impl Queue {
    pub fn new(site: Site, policy: Policy) -> Self {
        let product = |policy| {
            let mut queue = Box::<CallQueue>::default();
            queue.set_slots(at(0), site.slots());
            queue.set_policy(at(0), policy);
            Self::Product { queue, waiting: BTreeMap::new() }
        };
        match policy {
            Policy::Product if site.teams() > 0 => product(QueuePolicy::TeamValue),
            Policy::Product => product(QueuePolicy::Value),
            Policy::Target => product(QueuePolicy::Target),
            policy => Self::Simple(SimpleQueue {
                policy,
                slots: site.slots(),
                running: 0,
                arrivals: 0,
                waiting: BTreeMap::new(),
            }),
        }
    }

    /// Handles a call that arrives.
    pub fn arrive(&mut self, now: u64, call: Call) -> Step {
        let mut step = Step::default();
        match self {
            Self::Product { queue, waiting } => {
                match queue.admit(at(now), call.requirements.clone()) {
                    Admission::Run => step.begun.push(call),
                    Admission::Wait(ticket) => {
                        waiting.insert(ticket, call);
                    }
                    Admission::Refused { .. } => step.refused.push(call),
                }
                step.wake(waiting, queue.take_displaced());
            }
            Self::Simple(queue) => queue.arrive(now, call, &mut step),
        }
        step
    }

    /// Ends a call.
    pub fn end(&mut self, now: u64, call: &Call) -> Step {
        let mut step = Step::default();
        match self {
            Self::Product { queue, waiting } => {
                let took = Millis::new(call.work).into();
                step.wake(waiting, queue.end(at(now), &call.requirements, Some(took)));
            }
            Self::Simple(queue) => {
                queue.running -= 1;
                queue.fill(now, &mut step);
            }
        }
        step
    }
}

impl Step {
    fn wake(&mut self, waiting: &mut BTreeMap<QueueTicket, Call>, wakeups: Vec<QueueWakeup>) {
        for wakeup in wakeups {
            let call = waiting.remove(&wakeup.ticket).expect("a waiting call");
            if wakeup.refused.is_none() { &mut self.begun } else { &mut self.refused }.push(call);
        }
    }
}

impl SimpleQueue {
    /// The number of waiting calls above which [`Policy::Bounded`] refuses.
    const MAX_WAITING: usize = 40;

    fn arrive(&mut self, now: u64, call: Call, step: &mut Step) {
        if self.policy == Policy::Bounded && self.waiting.len() >= Self::MAX_WAITING {
            step.refused.push(call);
            return;
        }
        let rank = match self.policy {
            Policy::Priority => u64::from(call.requirements.rank.route),
            Policy::Edf => call.requirements.deadline.get(),
            _ => 0,
        };
        self.arrivals += 1;
        self.waiting.insert((rank, self.arrivals), call);
        self.fill(now, step);
    }

    fn fill(&mut self, now: u64, step: &mut Step) {
        while self.running < self.slots {
            let Some((_, call)) = self.waiting.pop_first() else { return };
            let checks_deadline = matches!(self.policy, Policy::Priority | Policy::Edf);
            if checks_deadline && at(now) > call.requirements.deadline {
                step.refused.push(call);
            } else {
                self.running += 1;
                step.begun.push(call);
            }
        }
    }
}
