//! The decision of the admission control on a call.

use crate::RefusalReason;
use crate::traffic::Ticket;

/// The decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call runs now and holds a slot until
    /// [`AdmissionController::end`](crate::traffic::AdmissionController::end).
    Run,
    /// The call waits until a [`Wakeup`](crate::traffic::Wakeup) names its ticket.
    Wait(Ticket),
    /// The call is refused before it ran.
    Refused(RefusalReason),
}
