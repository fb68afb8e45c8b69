//! The key that the nodes of an installation share.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The key that the nodes of an installation share.
#[derive(Clone)]
pub struct InstallationKey(
    /// At least [`InstallationKey::MIN_BYTES`] bytes.
    Arc<[u8]>,
);

impl InstallationKey {
    /// Number of bytes of a key at least: as many as the hash gives.
    pub const MIN_BYTES: usize = 32;

    /// The key with these bytes, unless they are too few.
    pub fn new(bytes: &[u8]) -> Result<Self, String> {
        if bytes.len() < Self::MIN_BYTES {
            let (found, min) = (bytes.len(), Self::MIN_BYTES);
            return Err(format!("expected a key of at least {min} bytes, found {found}"));
        }
        Ok(Self(bytes.into()))
    }

    /// Reads the key from a file.
    pub fn read(path: &Path) -> Result<Self, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::new(bytes.trim_ascii())
    }

    /// The bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// A message authentication code that starts with `purpose`, so that a
    /// code made for one purpose is not accepted for another.
    pub(crate) fn mac(&self, purpose: &str) -> Hmac<Sha256> {
        // HMAC takes a key of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any length is a key");
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
