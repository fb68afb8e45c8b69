//! Runs of calls at backend servers.

use std::time::Duration;

/// A run of a call at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The id of the call.
    pub call: String,
    /// The id of the server.
    pub server: String,
    /// The team that the server was told; empty without one.
    pub team: String,
    /// Whether the server got a credential.
    pub has_credential: bool,
    /// When the call arrived at the server.
    pub at: Duration,
}
