//! A call that waits for a slot.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::config::Priority;
use almondsail_core::traffic::Ticket;
use tokio::sync::oneshot;

use crate::calls::slots::Slots;

/// A call that waits for a slot. Gives its place up, or the slot back, on drop.
pub(crate) struct SlotWait<'a> {
    pub(crate) slots: &'a Arc<Slots>,
    pub(crate) priority: Priority,
    pub(crate) ticket: Ticket,
    /// `None` after the decision was received.
    pub(crate) rx: Option<oneshot::Receiver<Option<RefusalReason>>>,
}

impl SlotWait<'_> {
    /// Waits for the decision until `until`.
    pub(crate) async fn wait(&mut self, until: tokio::time::Instant) -> Result<(), RefusalReason> {
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

impl Drop for SlotWait<'_> {
    fn drop(&mut self) {
        let Some(mut rx) = self.rx.take() else { return };
        self.slots.cancel_wait(self.ticket, self.priority, &mut rx);
    }
}
