//! Whether the backend server beside a node is cold.

use crate::units::Instant;

/// Whether a backend server is cold, by its last announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendWarmth {
    /// Whether the server is cold, or may have restarted since.
    pub is_cold: bool,
    /// When the last announcement arrived.
    pub announced_at: Instant,
}
