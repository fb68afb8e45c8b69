//! Waiting for a slot of the backend server.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::config::Priority;
use almondsail_core::traffic::Ticket;
use tokio::sync::oneshot;

use crate::calls::slots::Slots;

/// A queued call that waits for a slot. Dropping it leaves the queue, or returns a slot that was
/// granted but not received.
pub(crate) struct SlotWait<'a> {
    pub(crate) slots: &'a Arc<Slots>,
    pub(crate) priority: Priority,
    pub(crate) ticket: Ticket,
    /// Receives a refusal reason, or `None` if the slot is granted. Unset once received.
    pub(crate) rx: Option<oneshot::Receiver<Option<RefusalReason>>>,
}

impl SlotWait<'_> {
    /// Waits until the slot is granted or refused, at most until `until`.
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
