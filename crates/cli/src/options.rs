//! How nodes are asked and results are written.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::output::Format;

/// How nodes are asked and results are written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The nodes to ask, in this order.
    pub nodes: Vec<SocketAddr>,
    /// The file that holds the operator's token.
    pub token_file: Option<PathBuf>,
    /// The form of the output.
    pub format: Format,
    /// How long one node may take to answer; more than zero.
    pub timeout: Duration,
}
