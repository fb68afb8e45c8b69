//! The write id.

use std::fmt;
use std::str::FromStr;

use super::ParseIdError;
use super::hex;

/// The unique id of one write to the store, by which a read-back recognises it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId([u8; Self::BYTES]);

impl WriteId {
    /// Number of bytes.
    pub const BYTES: usize = 16;

    /// The value with these bytes.
    pub const fn new(bytes: [u8; Self::BYTES]) -> Self {
        Self(bytes)
    }

    /// The bytes.
    pub const fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        hex::write(f, &self.0)
    }
}

impl FromStr for WriteId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        hex::parse(s)
            .map(Self)
            .ok_or_else(|| ParseIdError::new("write id", s, "32 lower-case hexadecimal digits"))
    }
}
