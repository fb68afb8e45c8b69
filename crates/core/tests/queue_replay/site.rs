//! A server and the calls that it gets.

use super::kind::Kind;

/// A server and the calls that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// The last fast server of cala-mesh's `fleetboard`, whose callers have no teams.
    Fleetboard,
    /// A service with calls of three ranks.
    Booking,
    /// As `Booking`, with teams of three priorities.
    RankedTeams,
    /// A service of short calls, some of which run far longer than most.
    Lookup,
}

impl Site {
    pub const ALL: [Self; 4] = [Self::Fleetboard, Self::Booking, Self::RankedTeams, Self::Lookup];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleetboard => "fleetboard",
            Self::Booking => "booking",
            Self::RankedTeams => "ranked-teams",
            Self::Lookup => "lookup",
        }
    }

    pub const fn slots(self) -> u32 {
        match self {
            Self::Fleetboard => 12,
            Self::Booking | Self::RankedTeams => 9,
            Self::Lookup => 6,
        }
    }

    /// Returns the number of teams, whose sizes fall off as a power law.
    pub const fn teams(self) -> usize {
        match self {
            Self::Fleetboard => 0,
            Self::Booking | Self::RankedTeams | Self::Lookup => 85,
        }
    }

    /// Returns the priority of a team.
    pub const fn team_priority(self, team: usize) -> u8 {
        match self {
            Self::RankedTeams => (team % 3) as u8,
            Self::Fleetboard | Self::Booking | Self::Lookup => 0,
        }
    }

    pub fn kinds(self) -> Vec<Kind> {
        match self {
            Self::Fleetboard => {
                vec![
                    kind("status", 70.0, 130.0, 400, 1_000, 2),
                    kind("sync", 150.0, 13.0, 60, 200, 2),
                ]
            }
            Self::Booking | Self::RankedTeams => vec![
                kind("book", 8.0, 220.0, 500, 2_500, 0),
                kind("change", 6.0, 290.0, 800, 3_000, 1),
                Kind { is_least_urgent: true, ..kind("history", 4.0, 550.0, 3_000, 6_000, 2) },
                made("check", 15.0, 55.0, 200, 600),
            ],
            Self::Lookup => vec![
                Kind { tail: 0.03, ..kind("find", 18.0, 100.0, 500, 3_000, 0) },
                Kind {
                    tail: 0.03,
                    is_least_urgent: true,
                    ..kind("list", 10.0, 140.0, 600, 4_000, 1)
                },
                made("resolve", 20.0, 30.0, 150, 400),
            ],
        }
    }
}

const fn kind(
    name: &'static str,
    rate: f64,
    work: f64,
    target: u64,
    deadline: u64,
    priority: u8,
) -> Kind {
    Kind {
        name,
        rate,
        work,
        tail: 0.0,
        target,
        deadline,
        priority,
        is_made: false,
        is_least_urgent: false,
    }
}

const fn made(name: &'static str, rate: f64, work: f64, target: u64, deadline: u64) -> Kind {
    Kind { is_made: true, ..kind(name, rate, work, target, deadline, 0) }
}
