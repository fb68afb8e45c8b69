//! Slots of the door.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::config::Priority;
use almondsail_core::traffic::{
    Admission, Deadline, Door, DoorCounts, DoorLimits, LoadReport, Ticket, Wakeup,
};
use almondsail_core::units::Instant;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// The slots of the backend server, shared by the calls that run and wait.
///
/// The mutex is held for single decisions and never while a call waits.
#[derive(Debug)]
pub(crate) struct Slots {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    door: Door,
    /// The calls that wait; the same tickets as in the door's queue.
    waiters: HashMap<Ticket, oneshot::Sender<Option<RefusalReason>>>,
}

/// A slot that a running call holds. It is free again after [`Slot::end`] or a drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    priority: Priority,
    started: Instant,
    end: SlotEnd,
}

/// How a call that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotEnd {
    /// The backend server ran it all the time; its time counts as service time.
    Ran,
    /// Its time says nothing about the backend server's speed.
    Other,
}

impl Slots {
    pub(crate) fn new(clock: Clock) -> Self {
        let door = Door::new(DoorLimits { slots: 0, connections: 0 });
        Self { clock, state: Mutex::new(State { door, waiters: HashMap::new() }) }
    }

    /// Waits for a slot until `deadline`.
    pub(crate) async fn take(
        self: &Arc<Self>,
        priority: Priority,
        deadline: Deadline,
    ) -> Result<Slot, RefusalReason> {
        let admission = {
            let mut state = self.lock();
            let (admission, displaced) = state.door.admit(self.clock.now(), priority, deadline);
            state.wake(displaced);
            match admission {
                Admission::Run => None,
                Admission::Refused(reason) => return Err(reason),
                Admission::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(ticket, tx);
                    Some((ticket, rx))
                }
            }
        };
        if let Some((ticket, rx)) = admission {
            let mut waiting = Waiting { slots: self, priority, ticket, rx: Some(rx) };
            waiting.wait(self.clock.timer(deadline.at())).await?;
        }
        let started = self.clock.now();
        Ok(Slot { slots: Arc::clone(self), priority, started, end: SlotEnd::Other })
    }

    /// Changes the limits.
    pub(crate) fn set_limits(&self, limits: DoorLimits) {
        let mut state = self.lock();
        let wakeups = state.door.set_limits(self.clock.now(), limits);
        state.wake(wakeups);
    }

    /// The load for callers' nodes.
    pub(crate) fn load(&self) -> LoadReport {
        self.lock().door.load()
    }

    /// The counts.
    pub(crate) fn counts(&self) -> DoorCounts {
        self.lock().door.counts()
    }

    fn free(&self, priority: Priority, started: Instant, end: SlotEnd) {
        let now = self.clock.now();
        let took = (end == SlotEnd::Ran).then(|| now.since(started));
        let mut state = self.lock();
        let wakeups = state.door.end(now, priority, took);
        state.wake(wakeups);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self, wakeups: impl IntoIterator<Item = Wakeup>) {
        for wakeup in wakeups {
            if let Some(waiter) = self.waiters.remove(&wakeup.ticket) {
                // The receiver lives until its ticket is cancelled under the same lock.
                let _ = waiter.send(wakeup.refused);
            }
        }
    }
}

impl Slot {
    /// Frees the slot.
    pub(crate) fn end(mut self, end: SlotEnd) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.free(self.priority, self.started, self.end);
    }
}

/// A call that waits for a slot. Gives its place up, or the slot back, on drop.
struct Waiting<'a> {
    slots: &'a Arc<Slots>,
    priority: Priority,
    ticket: Ticket,
    /// `None` after the decision was received.
    rx: Option<oneshot::Receiver<Option<RefusalReason>>>,
}

impl Waiting<'_> {
    async fn wait(&mut self, until: tokio::time::Instant) -> Result<(), RefusalReason> {
        let Some(rx) = &mut self.rx else { return Ok(()) };
        let Ok(decision) = tokio::time::timeout_at(until, rx).await else {
            return Err(RefusalReason::DeadlineTooNear);
        };
        self.rx = None;
        match decision {
            Ok(None) => Ok(()),
            Ok(Some(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::QueueFull),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(mut rx) = self.rx.take() else { return };
        let mut state = self.slots.lock();
        state.waiters.remove(&self.ticket);
        if state.door.cancel(self.ticket) {
            return;
        }
        // The slot was granted before the call gave up.
        if let Ok(None) = rx.try_recv() {
            let wakeups = state.door.end(self.slots.clock.now(), self.priority, None);
            state.wake(wakeups);
        }
    }
}
