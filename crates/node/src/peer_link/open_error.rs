//! Errors of opening a sealed frame.

use std::fmt;

use almondsail_wire::DecodeError;

/// Why [`FrameSeal::open`](super::FrameSeal::open) rejected a frame.
#[derive(Debug)]
pub enum OpenError {
    /// The tag does not match: the sender has another key, the frame was changed, or it was sent
    /// in the other direction.
    Unauthenticated,
    /// The tag matches, but the body can't be decoded.
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
