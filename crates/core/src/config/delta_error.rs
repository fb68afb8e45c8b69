//! Why a delta does not apply.

use std::fmt;

/// Why a delta does not apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The configuration is not the delta's base.
    WrongBase,
    /// The result has not the digest that the delta states.
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
