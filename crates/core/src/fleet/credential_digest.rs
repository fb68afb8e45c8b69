//! Digests of credentials.

use std::fmt;

use crate::ids::Digest;

/// The SHA-256 digest of a credential.
///
/// A node keeps and compares digests only, so that neither its memory nor the time of a comparison
/// tells a credential.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CredentialDigest(Digest);

impl CredentialDigest {
    /// Computes the digest of `credential`.
    pub fn of(credential: &[u8]) -> Self {
        Self(Digest::of(credential))
    }
}

impl fmt::Debug for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CredentialDigest(..)")
    }
}
