//! Reasons why a request to a peer failed.

use std::fmt;

/// Reason why a request to a peer has no valid reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// The connection could not be opened, or it broke.
    Unreachable,
    /// No reply arrived before the timeout.
    Timeout,
    /// The reply was malformed or not authenticated.
    BadReply,
}

impl fmt::Display for PeerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Timeout => "timeout",
            Self::BadReply => "bad_reply",
        })
    }
}

impl std::error::Error for PeerFailure {}
