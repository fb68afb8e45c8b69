//! What a team's report is made from.

use crate::config::ConfigContent;
use crate::ids::TeamName;
use crate::report::{ReportPeriod, StoredHours};

/// What a team's report is made from.
#[derive(Debug, Clone, Copy)]
pub struct ReportInput<'a> {
    /// The period.
    pub period: ReportPeriod,
    /// The hours of the period that could be read.
    pub hours: &'a StoredHours,
    /// The configuration in force: its teams share the cost, and its open
    /// rollouts may be late.
    pub content: &'a ConfigContent,
}

impl ReportInput<'_> {
    /// Whether `team` has a service or had calls.
    pub fn has_team(&self, team: &TeamName) -> bool {
        self.content.services.values().any(|service| service.team == *team)
            || self.hours.total().teams.contains_key(team)
    }
}
