//! The holder of a share of a server's slots.

use crate::fleet::CallRequirements;
use crate::ids::TeamName;

/// The holder of a share of a server's slots, which calls are counted towards.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ShareHolder {
    /// All calls without a team.
    NoTeam,
    /// The calls of one team.
    Team(TeamName),
    /// The calls of the teams that there is no room to count one by one.
    Others,
}

impl ShareHolder {
    /// Returns the holder that calls with `requirements` count towards.
    pub fn of(requirements: &CallRequirements) -> Self {
        requirements.team.clone().map_or(Self::NoTeam, Self::Team)
    }
}
