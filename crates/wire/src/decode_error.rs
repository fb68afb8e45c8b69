//! The error of decoding a message.

use std::fmt;

use crate::FieldError;

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// There are more bytes than allowed.
    TooLarge {
        /// The number of bytes.
        bytes: usize,
        /// The number allowed.
        limit: usize,
    },
    /// The bytes are no protocol buffer of this type.
    Malformed(String),
    /// A field has a bad value.
    Field(FieldError),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes, limit } => {
                write!(f, "{bytes} bytes are more than the limit of {limit}")
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
