//! What a node knows of the warmth of the backend server beside it.

use crate::units::Instant;

/// What the last announcement of a backend server tells of its warmth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendWarmth {
    /// Whether the server is cold, or may have restarted since.
    pub is_cold: bool,
    /// When the last announcement arrived.
    pub announced_at: Instant,
}
