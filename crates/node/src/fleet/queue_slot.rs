//! A guard for a slot of the backend server.

use std::sync::Arc;

use almondsail_core::fleet::CallRequirements;
use almondsail_core::units::Instant;

use crate::fleet::slot_queue::SlotQueue;

/// Permission to run one call at the backend server; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct QueueSlot {
    queue: Arc<SlotQueue>,
    requirements: CallRequirements,
    started: Instant,
    /// Whether the call ran to its end; only then its run time counts towards the mean.
    has_completed: bool,
}

impl QueueSlot {
    pub(crate) const fn new(
        queue: Arc<SlotQueue>,
        requirements: CallRequirements,
        started: Instant,
    ) -> Self {
        Self { queue, requirements, started, has_completed: false }
    }

    /// Returns when the call acquired the slot.
    pub(crate) const fn started(&self) -> Instant {
        self.started
    }

    /// Frees the slot and records the run time of its call, which ran to its end.
    pub(crate) fn complete(mut self) {
        self.has_completed = true;
    }
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.queue.free(&self.requirements, self.started, self.has_completed);
    }
}
