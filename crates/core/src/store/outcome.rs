//! Outcome of a submitted change.

use crate::ids::{ConfigVersion, WriteId};
use crate::store::RefusedChange;

/// Outcome of a submitted change, or of a query for one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted and created this configuration version.
    Accepted(ConfigVersion),
    /// The change was a dry run and would be accepted. Holds one line for each edit.
    WouldAccept(Vec<String>),
    /// The change was refused and nothing was written.
    Refused(RefusedChange),
    /// The store can't be reached, but the stop is in force on every node that can be reached.
    /// The nodes record it when the store answers again.
    StoppedUnrecorded,
    /// The store's reply was lost, so the write may have taken effect. Query the outcome of
    /// this write id later.
    Unknown(WriteId),
    /// Reply to an outcome query: neither the configuration of this version nor its history
    /// contains the write id.
    NotFound(WriteId, ConfigVersion),
}
