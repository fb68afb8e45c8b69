//! The decision on a call that waited for admission.

use crate::RefusalReason;
use crate::traffic::Ticket;

/// The decision on a call that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wakeup {
    /// The call.
    pub ticket: Ticket,
    /// Why the call is refused; `None` if it runs now.
    pub refused: Option<RefusalReason>,
}
