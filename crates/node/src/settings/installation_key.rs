//! The secret key shared by the nodes of an installation.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The secret key shared by the nodes of an installation, with which they authenticate messages
/// to each other.
#[derive(Clone)]
pub struct InstallationKey(
    /// Secret of at least [`InstallationKey::MIN_BYTES`] bytes.
    Arc<[u8]>,
);

impl InstallationKey {
    /// Minimum length of a key in bytes: the output length of SHA-256.
    pub const MIN_BYTES: usize = 32;

    /// Creates a key, or returns an error message if `bytes` is shorter than
    /// [`MIN_BYTES`](Self::MIN_BYTES).
    pub fn new(bytes: &[u8]) -> Result<Self, String> {
        if bytes.len() < Self::MIN_BYTES {
            let (found, min) = (bytes.len(), Self::MIN_BYTES);
            return Err(format!("expected a key of at least {min} bytes, found {found}"));
        }
        Ok(Self(bytes.into()))
    }

    /// Reads a key from a file, without white space at its start and end.
    pub fn read(path: &Path) -> Result<Self, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::new(bytes.trim_ascii())
    }

    /// Returns the raw secret, which must not be logged.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Starts an HMAC over `purpose` and a zero byte, so that a tag made for one purpose is not
    /// accepted for another.
    pub(crate) fn mac(&self, purpose: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac
    }
}

impl fmt::Debug for InstallationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("InstallationKey(..)")
    }
}
