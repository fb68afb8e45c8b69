//! The id of a call that waits for admission.

/// Identifies a call that waits for admission. Never reused by the same controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

impl Ticket {
    /// Creates the ticket with the number `n`.
    pub(crate) const fn new(n: u64) -> Self {
        Self(n)
    }
}
