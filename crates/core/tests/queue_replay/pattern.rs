//! A load pattern.

use super::kind::Kind;

/// How the load and the speed of the server differ from the usual during a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    Usual,
    /// Twice what the slots can do, with the usual mix of calls.
    Twice,
    /// The largest team makes seven times its usual calls.
    LargeTeam,
    /// A medium team makes seven times its usual calls.
    MediumTeam,
    /// The least urgent kind comes 2.5 times as often.
    LessUrgent,
    /// Running calls make ten times as many calls.
    Made,
    /// The server runs three times as slowly.
    Slow,
}

impl Pattern {
    pub const ALL: [Self; 7] = [
        Self::Usual,
        Self::Twice,
        Self::LargeTeam,
        Self::MediumTeam,
        Self::LessUrgent,
        Self::Made,
        Self::Slow,
    ];
    /// How many times as many calls a surging team makes.
    const SURGE_FACTOR: f64 = 7.0;

    pub const fn name(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Twice => "twice",
            Self::LargeTeam => "large-team",
            Self::MediumTeam => "medium-team",
            Self::LessUrgent => "less-urgent",
            Self::Made => "made",
            Self::Slow => "slow",
        }
    }

    /// Returns the factor for calls of `kind` at a server whose usual utilization is `utilization`.
    pub fn load(self, kind: &Kind, utilization: f64) -> f64 {
        match self {
            Self::Twice => 2.0 / utilization,
            Self::LessUrgent if kind.is_least_urgent => 2.5,
            Self::Made if kind.is_made => 10.0,
            _ => 1.0,
        }
    }

    /// Returns the factor for the calls of the team `team`; 0 is the largest team.
    pub const fn team_load(self, team: usize) -> f64 {
        match (self, team) {
            (Self::LargeTeam, 0) | (Self::MediumTeam, 3) => Self::SURGE_FACTOR,
            _ => 1.0,
        }
    }

    /// Returns the team that makes more calls than usual.
    pub const fn surging_team(self) -> Option<usize> {
        match self {
            Self::LargeTeam => Some(0),
            Self::MediumTeam => Some(3),
            _ => None,
        }
    }

    /// Returns the factor by which calls run longer.
    pub const fn slowness(self) -> f64 {
        match self {
            Self::Slow => 3.0,
            _ => 1.0,
        }
    }
}
