//! Conversion of a team's usage report.

use almondsail_core::report::{Minute, TeamReport};

use crate::operator as wire;

impl From<&TeamReport> for wire::Report {
    fn from(report: &TeamReport) -> Self {
        let unix_ms = |minute: Minute| minute.get().saturating_mul(Minute::LENGTH.get());
        let figure = |(name, value): (&str, String)| wire::Figure { name: name.to_owned(), value };
        Self {
            team: report.team.to_string(),
            from_unix_ms: unix_ms(report.from),
            to_unix_ms: unix_ms(report.to),
            sentences: report.sentences(),
            figures: report.rows().into_iter().map(figure).collect(),
        }
    }
}
