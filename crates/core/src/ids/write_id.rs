//! The id of a write to the store.

use std::fmt;
use std::str::FromStr;

use super::ParseIdError;
use super::hex;

/// The unique id of one write to the store, by which a later read recognises it. Written as
/// 32 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId([u8; Self::BYTES]);

impl WriteId {
    /// Length of a write id in bytes.
    pub const BYTES: usize = 16;

    /// Creates a write id from its bytes, which the writer draws at random.
    pub const fn new(bytes: [u8; Self::BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the write id.
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
