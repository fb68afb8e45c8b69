//! Calls of a soak run.

use std::time::Duration;

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs once or more.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Finds out whether the configuration with this version, or a later one, is in force. Needs no
    /// credential.
    Marker(u32),
}

/// A call that a caller sent. Times are since the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The id of the call, unique in the run.
    pub id: String,
    /// What the call asks for.
    pub kind: CallKind,
    /// The node to which it was sent.
    pub node: usize,
    /// The credential that it carries; `None` for a marker.
    pub credential: Option<String>,
    /// The body.
    pub payload: String,
    /// When it was sent.
    pub sent: Duration,
}
