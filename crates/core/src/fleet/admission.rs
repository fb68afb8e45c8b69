//! Decisions of the queue in front of a backend server.

use crate::RefusalReason;
use crate::fleet::QueueTicket;
use crate::units::Micros;

/// The queue's decision on a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A slot is free, and the call runs at once.
    Run,
    /// The call waits for a [`QueueWakeup`] with this ticket.
    Wait(QueueTicket),
    /// The call is refused without having run.
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The estimated time until a slot is free after all waiting calls.
        retry_after: Micros,
    },
}

/// Tells a waiting call that it runs or is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueWakeup {
    /// The ticket from [`Admission::Wait`].
    pub ticket: QueueTicket,
    /// The reason for a refusal and the time after which to retry; `None` if the call runs now.
    pub refused: Option<(RefusalReason, Micros)>,
}
