//! A part that a heartbeat can do without.

/// A part that a heartbeat can do without: later ones carry it as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HeartbeatPart {
    /// What the sender passes on about other nodes.
    Digest,
    /// The evidence of single routes.
    RouteEvidence,
    /// All reports on rollouts.
    Rollouts,
}

impl HeartbeatPart {
    /// All parts, the first of which is left out first.
    pub const ALL: [Self; 3] = [Self::Digest, Self::RouteEvidence, Self::Rollouts];

    /// Returns the name of the part in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Digest => "digest",
            Self::RouteEvidence => "route_evidence",
            Self::Rollouts => "rollouts",
        }
    }
}
