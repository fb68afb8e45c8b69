//! Status of a node in the peer table.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Status of a node. At the same incarnation, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerStatus {
    /// The node answers pings.
    Alive,
    /// The node did not answer a ping in time and may still refute the suspicion.
    Suspected,
    /// The node announced that it is about to stop.
    Leaving,
    /// The node did not refute a suspicion in time, or has stopped.
    Dead,
}

impl PeerStatus {
    /// Every status, in the order in which one overrides another.
    pub const ALL: [Self; 4] = [Self::Alive, Self::Suspected, Self::Leaving, Self::Dead];

    /// Returns the name of the status in logs and output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }

    /// Returns whether calls may be sent to a node of this status.
    pub const fn takes_calls(self) -> bool {
        match self {
            Self::Alive | Self::Suspected => true,
            Self::Leaving | Self::Dead => false,
        }
    }
}

impl fmt::Display for PeerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PeerStatus {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|status| status.as_str() == s)
            .ok_or_else(|| ParseIdError::new("peer status", s, "alive, suspected, leaving or dead"))
    }
}
