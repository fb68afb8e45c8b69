//! How a submitted change ended.

use crate::ids::{ConfigVersion, WriteId};
use crate::store::RefusedChange;

/// How a submitted change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted at this version.
    Accepted(ConfigVersion),
    /// A dry run: it would be accepted, with these changes, one a line.
    WouldAccept(Vec<String>),
    /// Refused; nothing was written.
    Refused(RefusedChange),
    /// The store can't be reached, but the stop is in force on every node that can be;
    /// nodes record it when the store answers again.
    StoppedUnrecorded,
    /// The store's answer was lost and could not be found out; ask for this write id later.
    Unknown(WriteId),
    /// Reply to a question for an outcome: neither the configuration of this
    /// version nor its history carries the write id.
    NotFound(WriteId, ConfigVersion),
}
