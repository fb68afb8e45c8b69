//! The outcome of a conditional write.

use super::Revision;

/// The outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written and now has the given revision.
    Written(Revision),
    /// The current revision, which is given, differs from the expected one.
    Conflict(Revision),
    /// The value is larger than [`MAX_VALUE_BYTES`](super::MAX_VALUE_BYTES).
    TooLarge,
    /// The lease has expired or never existed.
    NoLease,
}
