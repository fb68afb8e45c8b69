//! What the tool is asked to do.

use std::path::PathBuf;

use almondsail_core::ids::WriteId;
use almondsail_core::report::ReportQuery;

/// What the tool is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Run one statement.
    RunStatement(String),
    /// Run a statement from each line of the standard input.
    RunLines,
    /// Ask how a command ended.
    Outcome(WriteId),
    /// Ask for the report of a team.
    Report(ReportQuery),
    /// Show what became of a request, from the logs of nodes.
    Explain {
        /// The id of the caller's attempt.
        id: String,
        /// The logs; the standard input if there is none.
        logs: Vec<PathBuf>,
    },
    /// Print the grammar.
    Grammar,
}
