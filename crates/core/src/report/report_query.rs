//! A request for a team's report.

use crate::ids::TeamName;
use crate::units::UnixMillis;

/// A request for the report of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportQuery {
    /// The team whose calls and costs are reported.
    pub team: TeamName,
    /// When the reported time begins; the report rounds it down to a whole hour.
    pub since: UnixMillis,
}
