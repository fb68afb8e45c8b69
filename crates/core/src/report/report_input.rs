//! What a member's report is made from.

use crate::config::ConfigContent;
use crate::ids::MemberName;
use crate::report::{ReportPeriod, StoredHours};

/// What a member's report is made from.
#[derive(Debug, Clone, Copy)]
pub struct ReportInput<'a> {
    /// The period.
    pub period: ReportPeriod,
    /// The hours of the period that could be read.
    pub hours: &'a StoredHours,
    /// The configuration in force: its members share the cost, and its open
    /// rollouts may be late.
    pub content: &'a ConfigContent,
}

impl ReportInput<'_> {
    /// Whether `member` has a service or had calls.
    pub fn has_member(&self, member: &MemberName) -> bool {
        self.content.services.values().any(|service| service.member == *member)
            || self.hours.total().members.contains_key(member)
    }
}
