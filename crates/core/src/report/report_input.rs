//! The input of a team's report.

use crate::config::ConfigContent;
use crate::ids::TeamName;
use crate::report::{ReportPeriod, StoredHours};

/// The input from which a team's report is computed.
#[derive(Debug, Clone, Copy)]
pub struct ReportInput<'a> {
    /// The time that the report covers.
    pub period: ReportPeriod,
    /// The hours of the period that could be read from the store.
    pub hours: &'a StoredHours,
    /// The content of the configuration in force. Its teams share the cost, and its
    /// open rollouts may be late.
    pub content: &'a ConfigContent,
}

impl ReportInput<'_> {
    /// Returns whether `team` owns a service or had calls in the period.
    pub fn has_team(&self, team: &TeamName) -> bool {
        self.content.services.values().any(|service| service.team == *team)
            || self.hours.total().teams.contains_key(team)
    }
}
