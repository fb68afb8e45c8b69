//! The options that apply to every subcommand.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::output::Format;

/// The options that apply to every subcommand: which nodes to contact and how to print results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Addresses of the nodes' operator ports, in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// Path of the file that holds the operator's token; not needed by `explain` and `grammar`.
    pub token_file: Option<PathBuf>,
    /// Whether results are printed as text or as JSON.
    pub format: Format,
    /// Time that each node gets to answer, including the connect; more than zero.
    pub timeout: Duration,
}
