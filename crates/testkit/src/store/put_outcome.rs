//! The outcome of a write.

use super::Revision;

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value has this revision now.
    Written(Revision),
    /// The current revision is this one, not the expected one.
    Conflict(Revision),
    /// The value is over [`MAX_VALUE_BYTES`](super::MAX_VALUE_BYTES).
    TooLarge,
    /// The lease has lapsed or never existed.
    NoLease,
}
