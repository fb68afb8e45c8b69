//! Permits to run a call at the backend server.

use std::sync::Arc;

use almondsail_core::config::Priority;
use almondsail_core::units::Instant;

use crate::calls::slots::Slots;

/// A permit to run one call at the backend server beside this node. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    priority: Priority,
    started: Instant,
    end: SlotEnd,
}

/// Whether the time for which a call held its slot counts as service time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotEnd {
    /// The backend server worked on the call for the whole time.
    Measured,
    /// The call ended early, so that its time says nothing about the backend server's speed.
    Unmeasured,
}

impl Slot {
    /// Wraps a slot that the admission controller granted at `started`.
    pub(crate) const fn new(slots: Arc<Slots>, priority: Priority, started: Instant) -> Self {
        Self { slots, priority, started, end: SlotEnd::Unmeasured }
    }

    /// Frees the slot and reports its time as `end` says; a plain drop counts as unmeasured.
    pub(crate) fn end(mut self, end: SlotEnd) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release(self.priority, self.started, self.end);
    }
}
