//! Result of offering a configuration to a node.

/// Result of offering a configuration to [`ConfigSync`](crate::sync::ConfigSync).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The offered configuration is now in force.
    Applied,
    /// The offered version is already in force.
    Same,
    /// The offered version is older than the one in force.
    Older,
    /// The base of the offered delta is not the configuration in force.
    WrongBase,
    /// The offered content is invalid, or the result of the delta has the wrong digest.
    Invalid,
}
