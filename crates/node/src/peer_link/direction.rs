//! Whether a frame between nodes is a request or a reply.

/// Whether a frame is a request or a reply. The tag covers it, so that a recorded request
/// can't be replayed as a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by the node that opened the connection.
    Request,
    /// Sent back by the node that accepted the connection.
    Reply,
}

impl Direction {
    pub(super) const fn purpose(self) -> &'static str {
        match self {
            Self::Request => "peer-request",
            Self::Reply => "peer-reply",
        }
    }
}
