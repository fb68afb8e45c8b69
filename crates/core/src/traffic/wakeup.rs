//! The decision on a call that waited for admission.

use crate::RefusalReason;
use crate::traffic::Ticket;

/// The admission controller's decision on a call that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wakeup {
    /// The ticket that the call got when it began to wait.
    pub ticket: Ticket,
    /// The reason for which the call is refused; `None` if it may run now.
    pub refused: Option<RefusalReason>,
}
