//! Errors of building a [`crate::Traffic`].

/// The smallest length of the installation's key, in bytes.
pub(crate) const MIN_KEY_BYTES: usize = 16;

/// Why a [`crate::Traffic`] could not be built.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrafficError {
    /// The installation's key has less than 16 bytes.
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
