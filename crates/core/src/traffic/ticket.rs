//! The place of a waiting call.

/// A waiting call's place in the queue. Never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

impl Ticket {
    /// The ticket with the number `n`.
    pub(crate) const fn new(n: u64) -> Self {
        Self(n)
    }
}
