//! Whether the calls of a cold backend server are limited.

use crate::units::CallRate;

/// Whether the calls of a backend server are limited while it is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdRule {
    /// The node has no configuration yet that says so.
    Unknown,
    /// A cold server is merely slow.
    #[default]
    Unlimited,
    /// A cold server bears only this rate of calls.
    Limited(CallRate),
}
