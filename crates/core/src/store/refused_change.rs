//! Reasons why a submitted change is refused.

use std::fmt;

use crate::config::{ConfigError, HistoryEntry};

/// Reason why a submitted change was refused. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusedChange {
    /// The change, or the configuration that it would create, is invalid.
    Invalid(Vec<ConfigError>),
    /// Another change of the same service was accepted after the submission's base version.
    Conflict(HistoryEntry),
    /// The store can't be reached.
    StoreUnreachable,
    /// The stored value is not a valid configuration.
    StoreCorrupt,
    /// Other writers won the compare-and-swap too many times.
    TooManyConflicts,
    /// This node is about to stop and accepts no more changes.
    Stopping,
    /// This node's queue of submissions is full.
    Busy,
}

impl fmt::Display for RefusedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&texts.join("; "))
            }
            Self::Conflict(winner) => write!(
                f,
                "{} changed it first, in version {}: {}",
                winner.operator, winner.version, winner.summary
            ),
            Self::StoreUnreachable => f.write_str("store_unreachable: nothing was written"),
            Self::StoreCorrupt => f.write_str("the store's value is not a configuration"),
            Self::TooManyConflicts => f.write_str("other changes came first; try again"),
            Self::Stopping => f.write_str("this node stops; ask another one"),
            Self::Busy => f.write_str("this node has too many changes in hand; try again"),
        }
    }
}

impl std::error::Error for RefusedChange {}
