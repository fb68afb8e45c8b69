//! Error of decoding a message.

use std::fmt;

use crate::FieldError;

/// Describes why bytes can't be decoded to a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// The encoded message exceeds the size limit.
    TooLarge {
        /// Size of the encoded message in bytes.
        bytes: usize,
        /// Largest size accepted, in bytes.
        limit: usize,
    },
    /// The bytes are not a valid protocol buffer of the expected message type.
    Malformed(String),
    /// A field is missing or its value is out of range.
    Field(FieldError),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes, limit } => {
                write!(f, "{bytes} bytes exceed the limit of {limit}")
            }
            Self::Malformed(problem) => write!(f, "malformed message: {problem}"),
            Self::Field(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<FieldError> for DecodeError {
    fn from(e: FieldError) -> Self {
        Self::Field(e)
    }
}
