//! Queues calls until the backend server has a free slot.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{
    Admission, CallQueue, CallRequirements, FleetView, QueueTicket, QueueWakeup,
};
use almondsail_core::units::{Instant, Micros};
use tokio::runtime::Handle;
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
    /// When a task wakes the calls that a cold server then admits; `None` if none is pending.
    wakes_at: Option<Instant>,
}

impl SlotQueue {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::new(State::default()) }
    }

    /// Waits for a slot until the deadline of the call; fails if the queue refuses the call.
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
                    self.schedule_wakeup(&mut state);
                    Some((ticket, rx))
                }
            }
        };
        if let Some((ticket, rx)) = waiting {
            self.wait(&requirements, ticket, rx).await?;
        }
        Ok(QueueSlot::new(Arc::clone(self), requirements, self.clock.now()))
    }

    /// Sets the number of calls that may run at a time and the limit on the calls of a cold server,
    /// and wakes calls that now run or are refused.
    pub(crate) fn apply_view(self: &Arc<Self>, view: &FleetView) {
        let now = self.clock.now();
        let slots = view.backend.as_ref().map_or(0, |backend| backend.slots);
        let mut state = self.lock();
        let mut wakeups = state.queue.set_cold(now, view.cold_rule, view.warmth);
        wakeups.extend(state.queue.set_slots(now, slots));
        state.wake(wakeups);
        self.schedule_wakeup(&mut state);
    }

    /// Lets the backend server count as cold until its next announcement, because it may have
    /// restarted. Returns whether this limits its calls.
    pub(crate) fn doubt_server(self: &Arc<Self>) -> bool {
        let mut state = self.lock();
        let (is_limited, wakeups) = state.queue.doubt_server(self.clock.now());
        state.wake(wakeups);
        self.schedule_wakeup(&mut state);
        is_limited
    }

    /// Returns since when the backend server may have restarted without an announcement, if its
    /// calls are limited.
    pub(crate) fn doubted_at(&self) -> Option<Instant> {
        self.lock().queue.doubted_at()
    }

    /// Wakes the next waiting call when a cold server admits it.
    fn schedule_wakeup(self: &Arc<Self>, state: &mut State) {
        let now = self.clock.now();
        let Some(wait) = state.queue.next_cold_admission(now) else { return };
        let at = now + wait;
        if state.wakes_at.is_some_and(|wakes_at| wakes_at <= at) {
            return;
        }
        // The last calls may end with the runtime.
        let Ok(runtime) = Handle::try_current() else { return };
        state.wakes_at = Some(at);
        let queue = Arc::clone(self);
        runtime.spawn(async move {
            tokio::time::sleep_until(queue.clock.to_tokio_instant(at)).await;
            queue.wake_due();
        });
    }

    fn wake_due(self: &Arc<Self>) {
        let mut state = self.lock();
        state.wakes_at = None;
        let wakeups = state.queue.admit_waiting(self.clock.now());
        state.wake(wakeups);
        self.schedule_wakeup(&mut state);
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
        self: &Arc<Self>,
        requirements: &CallRequirements,
        started: Instant,
        has_completed: bool,
    ) {
        let now = self.clock.now();
        let took = has_completed.then(|| now.since(started));
        let mut state = self.lock();
        let wakeups = state.queue.end(now, requirements, took);
        state.wake(wakeups);
        self.schedule_wakeup(&mut state);
    }

    async fn wait(
        self: &Arc<Self>,
        requirements: &CallRequirements,
        ticket: QueueTicket,
        rx: oneshot::Receiver<Option<(RefusalReason, Micros)>>,
    ) -> Result<(), CallFailure> {
        let mut wait_guard = WaitGuard { queue: self, requirements, ticket, rx };
        let until = self.clock.to_tokio_instant(requirements.deadline);
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
            self.queue.schedule_wakeup(&mut state);
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
