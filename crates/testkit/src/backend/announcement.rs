//! What a backend server tells the node beside it.

use almondsail_core::peers::BackendState;
use serde::Serialize;

/// What a backend server tells the node beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Announcement {
    /// The service that it provides.
    pub service: String,
    /// Its version.
    pub version: String,
    /// How many calls it runs at a time.
    pub slots: usize,
    /// How many connections it accepts.
    pub connections: usize,
    /// Its state as text.
    pub state: &'static str,
    /// How many calls it runs or queues.
    pub load: usize,
}

impl Announcement {
    /// The same announcement with another state and load.
    pub fn with(self, state: BackendState, load: usize) -> Self {
        Self { state: state.as_str(), load, ..self }
    }
}
