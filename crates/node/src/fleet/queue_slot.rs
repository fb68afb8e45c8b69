//! A guard for a slot of the backend server.

use std::sync::Arc;

use almondsail_core::fleet::{CallEnd, CallRequirements, SentCall, ServerLoad};
use almondsail_core::units::Instant;
use tokio::sync::watch;

use crate::fleet::slot_queue::SlotQueue;

/// Permission to run one call at the backend server; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct QueueSlot {
    queue: Arc<SlotQueue>,
    requirements: CallRequirements,
    started: Instant,
    call: SentCall,
    /// Set to true once the call is found hanging.
    is_hanging: watch::Receiver<bool>,
    /// Whether the call ran to its end; only then its run time counts towards the mean.
    has_completed: bool,
    /// Whether the server may still run the call when the slot is dropped.
    end: CallEnd,
}

impl QueueSlot {
    pub(crate) const fn new(
        queue: Arc<SlotQueue>,
        requirements: CallRequirements,
        started: Instant,
        call: SentCall,
        is_hanging: watch::Receiver<bool>,
    ) -> Self {
        let end = CallEnd::Abandoned;
        Self { queue, requirements, started, call, is_hanging, has_completed: false, end }
    }

    /// Returns when the call acquired the slot.
    pub(crate) const fn started(&self) -> Instant {
        self.started
    }

    /// Records that the call is written to a connection.
    pub(crate) fn record_sent(&self) {
        self.queue.record_sent(self.call);
    }

    /// Records the head of the server's response with the load that it reports; `has_run` is false
    /// for a refusal.
    pub(crate) fn record_response(&self, load: Option<ServerLoad>, has_run: bool) {
        self.queue.record_response(self.call, load, has_run);
    }

    /// Records the head of a response whose load could not be read.
    pub(crate) fn record_unreadable_load(&self) {
        self.queue.record_unreadable_load(self.call);
    }

    /// Waits until the call is found hanging: the server does not run it and won't answer it.
    pub(crate) async fn wait_until_hanging(&self) {
        let mut is_hanging = self.is_hanging.clone();
        if is_hanging.wait_for(|is_hanging| *is_hanging).await.is_err() {
            std::future::pending().await
        }
    }

    /// Frees the slot of a call that was not sent, or whose connection the server closed.
    pub(crate) fn release(mut self) {
        self.end = CallEnd::Finished;
    }

    /// Frees the slot and records the run time of its call, which ran to its end.
    pub(crate) fn complete(mut self) {
        self.has_completed = true;
        self.end = CallEnd::Finished;
    }
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.queue.free(&self.requirements, self.started, self.has_completed, self.call, self.end);
    }
}
