//! Decisions of the queue of the admission control.

use crate::RefusalReason;
use crate::fleet::QueueTicket;
use crate::units::Micros;

/// Whether a call may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits.
    Wait(QueueTicket),
    /// It is refused, unrun.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// After how long a slot is likely to be free for it.
        retry_after: Micros,
    },
}

/// The end of a call's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueWakeup {
    /// The call.
    pub ticket: QueueTicket,
    /// Why it is refused and when it may come again; `None` if it runs now.
    pub refused: Option<(RefusalReason, Micros)>,
}
