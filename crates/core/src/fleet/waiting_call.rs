//! A call that waits in a queue that orders by value.

use crate::fleet::{CallRequirements, QueueTicket, ShareHolder};

/// A call that waits in a queue that orders by value.
#[derive(Debug, Clone)]
pub(super) struct WaitingCall {
    pub(super) ticket: QueueTicket,
    pub(super) holder: ShareHolder,
    pub(super) requirements: CallRequirements,
}

impl WaitingCall {
    pub(super) fn new(ticket: QueueTicket, requirements: CallRequirements) -> Self {
        Self { ticket, holder: ShareHolder::of(&requirements), requirements }
    }
}
