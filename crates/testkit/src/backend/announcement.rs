//! The announcement that a backend server sends to its node.

use almondsail_core::peers::BackendState;
use serde::Serialize;

/// The JSON body that a backend server sends to its node once per second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Announcement {
    /// The service that the backend server provides.
    pub service: String,
    /// The version of the backend server's software.
    pub version: String,
    /// The largest number of calls that the backend server runs at a time.
    pub slots: usize,
    /// The largest number of connections that the backend server accepts.
    pub connections: usize,
    /// The state of the backend server in its text form, such as `ready`.
    pub state: &'static str,
    /// The number of calls that the backend server runs or queues.
    pub load: usize,
}

impl Announcement {
    /// Returns the announcement with `state` and `load` replaced.
    pub fn with(self, state: BackendState, load: usize) -> Self {
        Self { state: state.as_str(), load, ..self }
    }
}
