//! Makes calls wait for the slots of the backend server.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{Admission, CallQueue, CallRequirements, QueueTicket, QueueWakeup};
use almondsail_core::units::{Instant, Micros};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::fleet::call_failure::CallFailure;
use crate::fleet::queue_slot::QueueSlot;

/// Makes calls wait for the slots of the backend server.
///
/// The mutex is held for single decisions and never while a call waits.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    queue: CallQueue,
    /// The calls that wait; the same tickets as in the queue.
    waiters: HashMap<QueueTicket, oneshot::Sender<Option<(RefusalReason, Micros)>>>,
}

impl SlotQueue {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::new(State::default()) }
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        requirements: CallRequirements,
    ) -> Result<QueueSlot, CallFailure> {
        let waiting = {
            let mut state = self.lock();
            match state.queue.admit(self.clock.now(), requirements.clone()) {
                Admission::Run => None,
                Admission::Refused { reason, retry_after } => {
                    return Err(CallFailure::refused(reason, retry_after));
                }
                Admission::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(ticket, tx);
                    Some((ticket, rx))
                }
            }
        };
        if let Some((ticket, rx)) = waiting {
            self.wait(&requirements, ticket, rx).await?;
        }
        Ok(QueueSlot::new(Arc::clone(self), requirements, self.clock.now()))
    }

    /// Sets the number of slots.
    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        let wakeups = state.queue.set_slots(self.clock.now(), slots);
        state.wake(wakeups);
    }

    /// Refuses every call that waits.
    pub(crate) fn refuse_all(&self, reason: RefusalReason) {
        let mut state = self.lock();
        let wakeups = state.queue.refuse_all(reason);
        state.wake(wakeups);
    }

    /// The calls before a call like `requirements`, and the mean time of a call.
    pub(crate) fn load(&self, requirements: &CallRequirements) -> (u32, Option<Micros>) {
        let state = self.lock();
        (state.queue.calls_ahead(requirements), state.queue.mean_time())
    }

    /// The mean time of a call.
    pub(crate) fn mean_time(&self) -> Option<Micros> {
        self.lock().queue.mean_time()
    }

    /// Frees the slot of a call.
    pub(crate) fn free(
        &self,
        requirements: &CallRequirements,
        started: Instant,
        has_completed: bool,
    ) {
        let now = self.clock.now();
        let took = has_completed.then(|| now.since(started));
        let mut state = self.lock();
        let wakeups = state.queue.end(now, requirements, took);
        state.wake(wakeups);
    }

    async fn wait(
        self: &Arc<Self>,
        requirements: &CallRequirements,
        ticket: QueueTicket,
        rx: oneshot::Receiver<Option<(RefusalReason, Micros)>>,
    ) -> Result<(), CallFailure> {
        let mut wait_guard = WaitGuard { queue: self, requirements, ticket, rx };
        let until = self.clock.timer(requirements.deadline);
        match tokio::time::timeout_at(until, &mut wait_guard.rx).await {
            Ok(Ok(None)) => Ok(()),
            Ok(Ok(Some((reason, retry_after)))) => Err(CallFailure::refused(reason, retry_after)),
            Ok(Err(_)) => Err(CallFailure::refused(RefusalReason::Leaving, Micros::new(0))),
            Err(_) => Err(CallFailure::refused(RefusalReason::DeadlineTooNear, Micros::new(0))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of a waiting call, given up on drop.
struct WaitGuard<'a> {
    queue: &'a Arc<SlotQueue>,
    requirements: &'a CallRequirements,
    ticket: QueueTicket,
    rx: oneshot::Receiver<Option<(RefusalReason, Micros)>>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        state.waiters.remove(&self.ticket);
        if state.queue.cancel(self.ticket) {
            return;
        }
        // A slot that was granted and not taken over goes to the next call.
        if let Ok(None) = self.rx.try_recv() {
            let wakeups = state.queue.end(self.queue.clock.now(), self.requirements, None);
            state.wake(wakeups);
        }
    }
}

impl State {
    fn wake(&mut self, wakeups: Vec<QueueWakeup>) {
        for wakeup in wakeups {
            if let Some(waiter) = self.waiters.remove(&wakeup.ticket) {
                // The receiver lives until its place is given up under the same lock.
                let _ = waiter.send(wakeup.refused);
            }
        }
    }
}
