//! A slot of the backend server.

use std::sync::Arc;

use almondsail_core::config::Priority;
use almondsail_core::units::Instant;

use crate::calls::slots::Slots;

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
    Measured,
    /// Its time says nothing about the backend server's speed.
    Unmeasured,
}

impl Slot {
    /// A slot that the controller has granted.
    pub(crate) const fn new(slots: Arc<Slots>, priority: Priority, started: Instant) -> Self {
        Self { slots, priority, started, end: SlotEnd::Unmeasured }
    }

    /// Frees the slot.
    pub(crate) fn end(mut self, end: SlotEnd) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release(self.priority, self.started, self.end);
    }
}
