//! Queues calls until the backend server has a free slot.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{
    Admission, CallQueue, CallRequirements, QueuePolicy, QueueTicket, QueueWakeup,
};
use almondsail_core::units::{Instant, Micros};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::fleet::call_failure::CallFailure;
use crate::fleet::queue_slot::QueueSlot;

/// Queues calls until the backend server has a free slot.
///
/// The mutex is held for single decisions, never while a call waits.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    queue: CallQueue,
    /// Channels that wake the waiting calls, with the same tickets as in `queue`. A call gets
    /// `None` for a slot, or the reason of its refusal and the time after which to retry.
    waiters: HashMap<QueueTicket, oneshot::Sender<Option<(RefusalReason, Micros)>>>,
}

impl SlotQueue {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::new(State::default()) }
    }

    /// Waits for a slot as long as the call can meet its deadline; fails if the queue refuses the
    /// call.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        requirements: CallRequirements,
    ) -> Result<QueueSlot, CallFailure> {
        let waiting = {
            let mut state = self.lock();
            let admission = state.queue.admit(self.clock.now(), requirements.clone());
            let displaced = state.queue.take_displaced();
            state.wake(displaced);
            match admission {
                Admission::Run => None,
                Admission::Refused { reason, retry_after } => {
                    return Err(CallFailure::refused(reason, retry_after));
                }
                Admission::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(ticket, tx);
                    Some((ticket, rx, state.queue.latest_start(&requirements)))
                }
            }
        };
        if let Some((ticket, rx, latest_start)) = waiting {
            self.wait(&requirements, ticket, rx, latest_start).await?;
        }
        Ok(QueueSlot::new(Arc::clone(self), requirements, self.clock.now()))
    }

    /// Sets the order of the calls and the rule by which they are refused.
    pub(crate) fn set_policy(&self, policy: QueuePolicy) {
        self.lock().queue.set_policy(self.clock.now(), policy);
    }

    /// Sets the number of calls that may run at a time, and wakes calls that got a new slot.
    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        let wakeups = state.queue.set_slots(self.clock.now(), slots);
        state.wake(wakeups);
    }

    /// Refuses all waiting calls with `reason`.
    pub(crate) fn refuse_all(&self, reason: RefusalReason) {
        let mut state = self.lock();
        let wakeups = state.queue.refuse_all(reason);
        state.wake(wakeups);
    }

    /// Returns the number of calls that run or are ahead of a new call with `requirements`, and the
    /// mean run time of a call.
    pub(crate) fn load(&self, requirements: &CallRequirements) -> (u32, Option<Micros>) {
        let state = self.lock();
        (state.queue.calls_ahead(requirements), state.queue.mean_time())
    }

    /// Returns the mean run time of a call; `None` until one has completed.
    pub(crate) fn mean_time(&self) -> Option<Micros> {
        self.lock().queue.mean_time()
    }

    /// Frees the slot of a call that began at `started`, and wakes the next call. The run time
    /// counts towards the mean only if the call has completed.
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
        latest_start: Instant,
    ) -> Result<(), CallFailure> {
        let mut wait_guard = WaitGuard { queue: self, requirements, ticket, rx };
        let until = self.clock.to_tokio_instant(latest_start);
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

/// Removes a waiting call from the queue on drop, also when its future is cancelled.
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
        // A slot that was granted but not used goes to the next call.
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
                // Can't fail: `WaitGuard` removes the waiter under the same lock before it drops
                // the receiver.
                let _ = waiter.send(wakeup.refused);
            }
        }
    }
}
