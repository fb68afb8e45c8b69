//! Whether the calls of a cold backend server are limited.

use crate::units::CallRate;

/// Whether the calls of a backend server are limited while it is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdRule {
    /// The node has no configuration yet.
    Unknown,
    /// The calls of a cold server are not limited.
    #[default]
    Unlimited,
    /// A cold server takes at most this rate of calls.
    Limited(CallRate),
}
