//! The decision on a call at the door.

use crate::RefusalReason;
use crate::traffic::Ticket;

/// The decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call runs now and holds a slot until [`Door::end`](crate::traffic::Door::end).
    Run,
    /// The call waits until a [`Wakeup`](crate::traffic::Wakeup) names its ticket.
    Wait(Ticket),
    /// The call is refused before it ran.
    Refused(RefusalReason),
}
