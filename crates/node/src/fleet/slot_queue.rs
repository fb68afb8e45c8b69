//! Queues calls until the backend server has a free slot.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{
    Admission, CallEnd, CallQueue, CallRequirements, FleetView, QueuePolicy, QueueTicket,
    QueueWakeup, SentCall, ServerLoad, ServerOccupancy,
};
use almondsail_core::units::{Instant, Micros, Percent};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

use crate::clock::Clock;
use crate::fleet::call_failure::CallFailure;
use crate::fleet::queue_slot::QueueSlot;
use crate::fleet::server_metrics::ServerStatus;

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
    /// The number of calls that the server runs at a time.
    slots: u32,
    /// The calls that hold slots, by which `queue` limits their number.
    occupancy: ServerOccupancy,
    /// Channels that notify running calls that they hang.
    running: HashMap<SentCall, watch::Sender<bool>>,
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

    /// Waits for a slot as long as the call can meet its deadline; fails if the queue refuses the
    /// call. A call whose body `is_large` may be counted late by the server.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        requirements: CallRequirements,
        is_large: bool,
    ) -> Result<QueueSlot, CallFailure> {
        let now = self.clock.now();
        let (ticket, rx, latest_start) = {
            let mut state = self.lock();
            state.refresh(now);
            let admission = state.queue.admit(now, requirements.clone());
            let displaced = state.queue.take_displaced();
            state.wake(displaced);
            match admission {
                Admission::Run => return Ok(self.begin(&mut state, requirements, is_large)),
                Admission::Refused { reason, retry_after } => {
                    return Err(CallFailure::refused(reason, retry_after));
                }
                Admission::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(ticket, tx);
                    self.schedule_wakeup(&mut state);
                    (ticket, rx, state.queue.latest_start(&requirements))
                }
            }
        };
        self.wait(&requirements, ticket, rx, latest_start).await?;
        Ok(self.begin(&mut self.lock(), requirements, is_large))
    }

    /// Sets the order of the calls and the rule by which they are refused.
    pub(crate) fn set_policy(&self, policy: QueuePolicy) {
        self.lock().queue.set_policy(self.clock.now(), policy);
    }

    /// Sets the number of calls that may run at a time and the limit on the calls of a cold server,
    /// and wakes calls that now run or are refused.
    pub(crate) fn apply_view(self: &Arc<Self>, view: &FleetView) {
        let now = self.clock.now();
        let slots = view.backend.as_ref().map_or(0, |backend| backend.slots);
        let mut state = self.lock();
        let wakeups = state.queue.set_cold(now, view.cold_rule, view.warmth);
        state.wake(wakeups);
        state.slots = slots;
        state.refresh(now);
        self.schedule_wakeup(&mut state);
    }

    /// Records that `call` is written to a connection.
    pub(crate) fn record_sent(&self, call: SentCall) {
        self.lock().occupancy.record_sent(self.clock.now(), call);
    }

    /// Records the head of the response to `call` with the load that it reports; `has_run` is false
    /// for a refusal. Tells the calls that are now found hanging, and fills their slots.
    pub(crate) fn record_response(&self, call: SentCall, load: Option<ServerLoad>, has_run: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(service_time) = load.and_then(|load| load.service_time) {
            state.queue.record_rate(now, service_time);
        }
        for hanging in state.occupancy.record_response(now, call, load, has_run) {
            if let Some(running) = state.running.get(&hanging) {
                running.send_replace(true);
            }
        }
        state.refresh(now);
    }

    /// Records the head of a response to `call` whose load could not be read.
    pub(crate) fn record_unreadable_load(&self, call: SentCall) {
        let mut state = self.lock();
        state.occupancy.record_unreadable_load(call);
        state.refresh(self.clock.now());
    }

    /// Returns what is known of the calls at the backend server.
    pub(crate) fn server_status(&self) -> ServerStatus {
        let now = self.clock.now();
        let state = self.lock();
        ServerStatus {
            counted: state.occupancy.counted(now),
            told: state.occupancy.told(),
            service_time: state.queue.service_time(now),
            hanging_calls: state.occupancy.hanging_calls(),
        }
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

    /// Returns the load to report for a new call with `requirements`.
    pub(crate) fn load(&self, requirements: &CallRequirements) -> QueueLoad {
        let now = self.clock.now();
        let state = self.lock();
        let queued = state.queue.calls_ahead(requirements);
        let at_server = queued.saturating_sub(state.occupancy.hanging());
        QueueLoad {
            calls_ahead: at_server.saturating_add(state.occupancy.others(now)),
            mean_time: state.queue.mean_time(),
            service_time: state.queue.service_time(now),
        }
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
        call: SentCall,
        end: CallEnd,
    ) {
        let now = self.clock.now();
        let took = has_completed.then(|| now.since(started));
        let mut state = self.lock();
        state.running.remove(&call);
        state.occupancy.end(now, call, end);
        state.refresh(now);
        let wakeups = state.queue.end(now, requirements, took);
        state.wake(wakeups);
        self.schedule_wakeup(&mut state);
    }

    /// Begins a call that got a slot.
    fn begin(
        self: &Arc<Self>,
        state: &mut State,
        requirements: CallRequirements,
        is_large: bool,
    ) -> QueueSlot {
        let now = self.clock.now();
        let call = state.occupancy.begin(now, requirements.deadline, is_large);
        let (tx, rx) = watch::channel(false);
        state.running.insert(call, tx);
        QueueSlot::new(Arc::clone(self), requirements, now, call, rx)
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
        let result = loop {
            let next = self.next_change().map(|next| self.clock.to_tokio_instant(next));
            let pause = next.map_or(until, |next| next.min(until));
            match tokio::time::timeout_at(pause, &mut wait_guard.rx).await {
                Err(_) if pause < until => self.lock().refresh(self.clock.now()),
                result => break result,
            }
        };
        match result {
            Ok(Ok(None)) => Ok(()),
            Ok(Ok(Some((reason, retry_after)))) => Err(CallFailure::refused(reason, retry_after)),
            Ok(Err(_)) => Err(CallFailure::refused(RefusalReason::Leaving, Micros::new(0))),
            Err(_) => Err(CallFailure::refused(RefusalReason::DeadlineTooNear, Micros::new(0))),
        }
    }

    /// Returns when a waiting call may get a slot without a further event.
    fn next_change(&self) -> Option<Instant> {
        self.lock().occupancy.next_change(self.clock.now())
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

/// Load of the queue and of the backend server behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueueLoad {
    /// Number of calls that run or are ahead of a new call.
    pub(crate) calls_ahead: u32,
    /// Usual mean run time of a call; `None` until one has completed.
    pub(crate) mean_time: Option<Micros>,
    /// Current service time relative to the usual one; `None` if the server does not report it.
    pub(crate) service_time: Option<Percent>,
}

impl State {
    /// Lets as many calls run as the calls at the server permit at `now`.
    fn refresh(&mut self, now: Instant) {
        let limit = self.occupancy.limit(now, self.slots);
        let wakeups = self.queue.set_capacity(now, self.slots, limit);
        self.wake(wakeups);
    }

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
