//! The error of applying a delta.

use std::fmt;

/// The reason for which a delta can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The configuration's digest is not that of the delta's base.
    WrongBase,
    /// The result's digest differs from the one that the delta states.
    WrongResult,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongBase => "the delta is for another base",
            Self::WrongResult => "the delta's result has another digest than stated",
        })
    }
}

impl std::error::Error for DeltaError {}
