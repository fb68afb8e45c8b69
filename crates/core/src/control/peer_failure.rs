//! Why a request to a peer failed.

use std::fmt;

/// Why a request to a peer has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// No connection could be opened, or it broke.
    Unreachable,
    /// No reply came in time.
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
