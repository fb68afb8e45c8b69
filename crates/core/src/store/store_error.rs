//! Errors of requests to the store.

use std::fmt;

/// Reason why a request to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused the request or could not be reached, so it had no effect.
    NoEffect,
    /// The reply was lost or came too late, so the request may have taken effect.
    Unknown,
    /// The compare-and-swap found another revision, so it had no effect.
    Conflict,
    /// The stored value can't be decoded.
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
