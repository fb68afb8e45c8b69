//! Conversion of a member's report.

use almondsail_core::report::{MemberReport, Minute};

use crate::operator as wire;

impl From<&MemberReport> for wire::Report {
    fn from(report: &MemberReport) -> Self {
        let unix_ms = |minute: Minute| minute.get().saturating_mul(Minute::LENGTH.get());
        let figure = |(name, value): (&str, String)| wire::Figure { name: name.to_owned(), value };
        Self {
            member: report.member.to_string(),
            from_unix_ms: unix_ms(report.from),
            to_unix_ms: unix_ms(report.to),
            sentences: report.sentences(),
            figures: report.rows().into_iter().map(figure).collect(),
        }
    }
}
