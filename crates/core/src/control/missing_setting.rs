//! Error for incomplete settings.

use std::fmt;

/// The name of a required setting that was not set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingSetting(pub(crate) &'static str);

impl fmt::Display for MissingSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the setting {} is missing", self.0)
    }
}

impl std::error::Error for MissingSetting {}
