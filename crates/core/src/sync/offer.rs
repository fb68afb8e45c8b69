//! What became of an offered configuration.

/// What became of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Applied,
    /// It is the version in force.
    Same,
    /// It is older than the version in force.
    Older,
    /// The delta is for another base.
    WrongBase,
    /// It is not valid as a whole, or has not the digest stated.
    Invalid,
}
