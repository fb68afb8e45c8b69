//! What the tool is asked to do.

use almondsail_core::ids::WriteId;
use almondsail_core::report::ReportQuery;

/// What the tool is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Run one statement.
    Run(String),
    /// Run a statement from each line of the standard input.
    RunLines,
    /// Ask how a command ended.
    Outcome(WriteId),
    /// Ask for the report of a member.
    Report(ReportQuery),
    /// Print the grammar.
    Grammar,
}
