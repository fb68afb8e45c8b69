//! A question for a report.

use crate::ids::TeamName;
use crate::units::UnixMillis;

/// A question for the report of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportQuery {
    /// The team.
    pub team: TeamName,
    /// The start of the time that the report covers.
    pub since: UnixMillis,
}
