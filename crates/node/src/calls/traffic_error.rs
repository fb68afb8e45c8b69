//! The errors of setting traffic up.

/// Number of bytes that the installation's key must have at least.
pub(crate) const MIN_KEY_BYTES: usize = 16;

/// Why traffic could not be set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrafficError {
    /// The installation's key is too short.
    ShortKey,
}

impl std::fmt::Display for TrafficError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::ShortKey => {
                write!(f, "the installation key has less than {MIN_KEY_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for TrafficError {}
