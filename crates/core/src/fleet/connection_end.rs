//! How a connection with unanswered requests ended.

/// How a connection ended on which requests were still unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionEnd {
    /// The other side closed or reset the connection.
    PeerClosed,
    /// The other side acknowledged nothing for too long, neither bytes nor keep-alive probes.
    PeerSilent,
    /// An answer could not be written, or not in time.
    WriteFailed,
    /// The node closed the connection after an answer, because it stops.
    Stopped,
    /// The grace period of a stop ended.
    Aborted,
}

impl ConnectionEnd {
    /// Returns the name of the end in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PeerClosed => "peer_closed",
            Self::PeerSilent => "peer_silent",
            Self::WriteFailed => "write_failed",
            Self::Stopped => "stopped",
            Self::Aborted => "aborted",
        }
    }
}
