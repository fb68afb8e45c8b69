//! Why a change was refused.

use std::fmt;

use crate::config::{ConfigError, HistoryEntry};

/// Why a submitted change was refused. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusedChange {
    /// The change, or the configuration that it would make, is not valid.
    Invalid(Vec<ConfigError>),
    /// Another operator's change came first.
    Overtaken(HistoryEntry),
    /// The store can't be reached.
    StoreUnreachable,
    /// The store's value can't be read.
    StoreCorrupt,
    /// Other writers came first too many times in a row.
    TooManyConflicts,
    /// This node stops.
    Stopping,
    /// This node has as many submissions in hand as it may.
    Busy,
}

impl fmt::Display for RefusedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&texts.join("; "))
            }
            Self::Overtaken(winner) => write!(
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
