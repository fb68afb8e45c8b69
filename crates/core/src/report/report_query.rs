//! A question for a report.

use crate::ids::MemberName;
use crate::units::UnixMillis;

/// A question for the report of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportQuery {
    /// The member.
    pub member: MemberName,
    /// The start of the time that the report covers.
    pub since: UnixMillis,
}
