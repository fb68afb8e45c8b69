//! The admission controller's decision on a call that arrives.

use crate::RefusalReason;
use crate::traffic::Ticket;

/// The admission controller's decision on a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call may run now and holds a slot until
    /// [`AdmissionController::end`](crate::traffic::AdmissionController::end).
    Run,
    /// The call waits until a [`Wakeup`](crate::traffic::Wakeup) names its ticket.
    Wait(Ticket),
    /// The call is refused before it ran.
    Refused(RefusalReason),
}
