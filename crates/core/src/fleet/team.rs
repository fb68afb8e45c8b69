//! A team whose callers send credentials.

use crate::fleet::Quota;
use crate::ids::TeamName;

/// A team whose callers send credentials with their calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The name of the team, unique within a configuration.
    pub name: TeamName,
    /// The priority of the team's calls, which goes before that of their routes; 0 is the most
    /// urgent.
    pub priority: u8,
    /// The limit on the team's calls; `None` without a limit.
    pub quota: Option<Quota>,
}
