//! The reason that an operator gives for a command.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::config::check::is_plain_text;
use crate::ids::ParseIdError;

/// The reason that an operator gives for a command, in one sentence.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reason(
    /// 1 to 512 bytes without control characters, so that a configuration can store it.
    Arc<str>,
);

impl Reason {
    /// Returns the reason as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the reason as a shared string without copying its text.
    pub fn to_shared(&self) -> Arc<str> {
        self.0.clone()
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Reason {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        if !s.is_empty() && is_plain_text(s) {
            Ok(Self(s.into()))
        } else {
            Err(ParseIdError::new("reason", s, "1 to 512 bytes without control characters"))
        }
    }
}
