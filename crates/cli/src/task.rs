//! The task that the arguments of the process ask for.

use std::path::PathBuf;

use almondsail_core::ids::WriteId;
use almondsail_core::report::ReportQuery;

/// The task that the arguments of the process ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Run one statement of the command language, given by its text.
    RunStatement(String),
    /// Run a statement from each line of the standard input, until one fails.
    RunLines,
    /// Query the outcome of the command that was sent with this write id.
    Outcome(WriteId),
    /// Query the report on the calls and costs of a team.
    Report(ReportQuery),
    /// Show from the logs of nodes what happened to a request.
    Explain {
        /// Id of the caller's attempt, as the nodes log it.
        id: String,
        /// Paths of log files; the standard input is read if there are none.
        logs: Vec<PathBuf>,
    },
    /// Print the grammar of the command language.
    Grammar,
}
