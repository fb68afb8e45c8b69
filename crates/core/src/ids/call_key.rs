//! The idempotency key of a call.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use super::ParseIdError;

/// The idempotency key that a caller assigns to a non-idempotent call: 1 to 128 printable ASCII
/// characters without spaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(Arc<str>);

impl CallKey {
    /// Maximum length of a key in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Returns the key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for CallKey {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let fits = (1..=Self::MAX_BYTES).contains(&s.len());
        if fits && s.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(s.into()))
        } else {
            Err(ParseIdError::new(
                "call key",
                s,
                "1 to 128 printable ASCII characters without spaces",
            ))
        }
    }
}
