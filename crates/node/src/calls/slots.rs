//! Admission of calls to the backend server beside this node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::config::Priority;
use almondsail_core::traffic::{
    Admission, AdmissionController, AdmissionCounts, AdmissionLimits, Deadline, LoadReport, Ticket,
    Wakeup,
};
use almondsail_core::units::Instant;
use tokio::sync::oneshot;

use crate::calls::slot::{Slot, SlotEnd};
use crate::calls::slot_wait::SlotWait;
use crate::clock::Clock;

/// Shares the slots of the backend server among running and queued calls.
///
/// The mutex is held for single decisions and never while a call waits.
#[derive(Debug)]
pub(crate) struct Slots {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    controller: AdmissionController,
    /// The queued calls by ticket; the same tickets as in the controller's queue.
    waiters: HashMap<Ticket, oneshot::Sender<Option<RefusalReason>>>,
}

impl Slots {
    pub(crate) fn new(clock: Clock) -> Self {
        let controller = AdmissionController::new(AdmissionLimits { slots: 0, connections: 0 });
        Self { clock, state: Mutex::new(State { controller, waiters: HashMap::new() }) }
    }

    /// Takes a slot, and waits for one until `deadline` if none is free.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        priority: Priority,
        deadline: Deadline,
    ) -> Result<Slot, RefusalReason> {
        let admission = {
            let mut state = self.lock();
            let (admission, displaced) =
                state.controller.admit(self.clock.now(), priority, deadline);
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
            let mut waiting = SlotWait { slots: self, priority, ticket, rx: Some(rx) };
            waiting.wait(self.clock.to_tokio_instant(deadline.at())).await?;
        }
        let started = self.clock.now();
        Ok(Slot::new(Arc::clone(self), priority, started))
    }

    /// Applies new limits and admits or refuses the queued calls that they concern.
    pub(crate) fn set_limits(&self, limits: AdmissionLimits) {
        let mut state = self.lock();
        let wakeups = state.controller.set_limits(self.clock.now(), limits);
        state.wake(wakeups);
    }

    /// Returns the load that answers report to the entry nodes.
    pub(crate) fn load(&self) -> LoadReport {
        self.lock().controller.load()
    }

    /// Returns the numbers of calls by their state at admission.
    pub(crate) fn counts(&self) -> AdmissionCounts {
        self.lock().controller.counts()
    }

    /// Removes a call from the queue, or frees its slot if that was granted meanwhile.
    pub(crate) fn cancel_wait(
        &self,
        ticket: Ticket,
        priority: Priority,
        decision: &mut oneshot::Receiver<Option<RefusalReason>>,
    ) {
        let mut state = self.lock();
        state.waiters.remove(&ticket);
        if state.controller.cancel(ticket) {
            return;
        }
        if let Ok(None) = decision.try_recv() {
            let wakeups = state.controller.end(self.clock.now(), priority, None);
            state.wake(wakeups);
        }
    }

    /// Frees the slot of a call that has ended and admits the next one.
    pub(crate) fn release(&self, priority: Priority, started: Instant, end: SlotEnd) {
        let now = self.clock.now();
        let took = (end == SlotEnd::Measured).then(|| now.since(started));
        let mut state = self.lock();
        let wakeups = state.controller.end(now, priority, took);
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
