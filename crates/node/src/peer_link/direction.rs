//! The direction of a frame.

/// Whether a frame is a request or a reply, so that one can't pass for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the node that asks.
    Request,
    /// From the node that answers.
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
