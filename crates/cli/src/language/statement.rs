//! A statement of the command language.

use std::fmt;
use std::str::FromStr;

use almondsail_core::ids::ConfigVersion;
use almondsail_core::operators::{Command, Query};

use super::parser;
use crate::language::SyntaxError;

/// A statement of the command language. Its `Display` form parses to the same statement.
///
/// ```
/// use almondsail_cli::language::Statement;
///
/// let text = "dry-run stop bays/v2 on moves at version 17";
/// let statement: Statement = text.parse()?;
/// assert_eq!(statement.to_string(), text);
/// # Ok::<(), almondsail_cli::language::SyntaxError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A request to show something, which changes nothing.
    Query(Query),
    /// A command, which changes the configuration unless it is a dry run.
    Command {
        /// Change that the operator asks for.
        command: Command,
        /// Whether the node only reports what the command would change.
        dry_run: bool,
        /// Configuration version that the operator's decision is based on, from `at version`.
        base_version: Option<ConfigVersion>,
    },
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => query.fmt(f),
            Self::Command { command, dry_run, base_version } => {
                f.write_str(if *dry_run { "dry-run " } else { "" })?;
                command.fmt(f)?;
                base_version.map_or(Ok(()), |version| write!(f, " at version {version}"))
            }
        }
    }
}

impl FromStr for Statement {
    type Err = SyntaxError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parser::parse(s)
    }
}
