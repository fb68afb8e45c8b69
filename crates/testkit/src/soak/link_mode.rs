//! Faults of a proxied link.

use std::time::Duration;

/// How a [`FaultyProxy`](super::FaultyProxy) treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes all bytes on at once.
    Open,
    /// Passes bytes on after this time.
    Delayed(Duration),
    /// Holds all bytes back until the mode changes.
    Stalled,
    /// Passes requests on and drops the answers for good, so that the connection stays silent.
    LosesAnswers,
    /// Closes all connections, also new ones.
    Closed,
}

impl LinkMode {
    /// Returns whether requests are answered.
    pub const fn answers(self) -> bool {
        match self {
            Self::Open | Self::Delayed(_) => true,
            Self::Stalled | Self::LosesAnswers | Self::Closed => false,
        }
    }
}
