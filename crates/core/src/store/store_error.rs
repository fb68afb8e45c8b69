//! Why a request to the store failed.

use std::fmt;

/// Why a request to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused the request or could not be reached: it had no effect.
    NoEffect,
    /// The answer was lost or came too late: the request may have had its effect.
    Unknown,
    /// The compare-and-swap found another revision: it had no effect.
    Conflict,
    /// The value is not a configuration.
    Corrupt,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoEffect => "store_unreachable",
            Self::Unknown => "store_answer_lost",
            Self::Conflict => "store_conflict",
            Self::Corrupt => "store_value_corrupt",
        })
    }
}

impl std::error::Error for StoreError {}
