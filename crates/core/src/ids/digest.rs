//! SHA-256 digests, written as hexadecimal text.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest as _, Sha256};

use super::ParseIdError;
use super::hex;

/// A SHA-256 digest, written as 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; Self::BYTES]);

impl Digest {
    /// Length of a digest in bytes.
    pub const BYTES: usize = 32;

    /// Creates a digest from its bytes, without hashing them.
    pub const fn new(bytes: [u8; Self::BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        hex::write(f, &self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        hex::parse(s)
            .map(Self)
            .ok_or_else(|| ParseIdError::new("digest", s, "64 lower-case hexadecimal digits"))
    }
}

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}
