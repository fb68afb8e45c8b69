//! The identity of a waiting call.

/// Identifies a call that waits in a [`CallQueue`](crate::fleet::CallQueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

impl QueueTicket {
    pub(super) const fn new(n: u64) -> Self {
        Self(n)
    }
}
