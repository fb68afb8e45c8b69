//! The holder of a share of a server's slots.

use crate::fleet::CallRequirements;
use crate::ids::TeamName;

/// The holder of a share of a server's slots, to which calls are charged.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ShareHolder {
    /// All calls without a team.
    NoTeam,
    /// The calls of one team.
    Team(TeamName),
    /// The calls of the teams that there is no room to count separately.
    Others,
}

impl ShareHolder {
    /// Returns the holder to which calls with `requirements` are charged.
    pub fn of(requirements: &CallRequirements) -> Self {
        requirements.team.clone().map_or(Self::NoTeam, Self::Team)
    }
}
