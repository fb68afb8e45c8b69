//! Formats the report of a team.

use almondsail_wire::operator::Report;

use super::time_text::time_text;
use crate::output::Table;

/// Formats the report of a team: its period, its sentences, and a table of its figures.
pub fn report_text(report: &Report) -> String {
    let (from, to) = (time_text(report.from_unix_ms), time_text(report.to_unix_ms));
    let sentences: String =
        report.sentences.iter().map(|sentence| format!("{sentence}\n")).collect();
    let mut table = Table::new(&["FIGURE", "VALUE"]);
    for figure in &report.figures {
        table.push_row([&figure.name, &figure.value]);
    }
    format!("team {} from {from} to {to}\n\n{sentences}\n{table}", report.team)
}
