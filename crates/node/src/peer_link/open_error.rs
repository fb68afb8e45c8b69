//! Why a frame is not accepted.

use std::fmt;

use almondsail_wire::DecodeError;

/// Why a frame is not accepted.
#[derive(Debug)]
pub enum OpenError {
    /// The tag does not match: the sender has another key, or the frame was changed.
    Unauthenticated,
    /// The body is not a message.
    Malformed(DecodeError),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthenticated => f.write_str("the frame's tag does not match"),
            Self::Malformed(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for OpenError {}
