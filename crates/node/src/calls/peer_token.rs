//! The token by which the nodes of an installation authenticate to each other.

use hmac::{Hmac, Mac as _};
use http::HeaderValue;
use sha2::Sha256;

/// Domain separation: no other use of the installation's key yields the same token.
const DERIVATION_CONTEXT: &[u8] = b"almondsail door token 1";

/// A secret derived from the installation's key, sent in each request to another node.
#[derive(Clone)]
pub(crate) struct PeerToken {
    mac: Hmac<Sha256>,
    text: HeaderValue,
}

impl PeerToken {
    /// Derives the token from the installation's key by HMAC-SHA-256.
    pub(crate) fn derive(key: &[u8]) -> Result<Self, InvalidKey> {
        let mac = Hmac::<Sha256>::new_from_slice(key)
            .map_err(|_| InvalidKey)?
            .chain_update(DERIVATION_CONTEXT);
        let hex: String =
            mac.clone().finalize().into_bytes().iter().map(|b| format!("{b:02x}")).collect();
        let mut text = HeaderValue::try_from(hex).map_err(|_| InvalidKey)?;
        text.set_sensitive(true);
        Ok(Self { mac, text })
    }

    /// Returns the token in hexadecimal, marked as sensitive.
    pub(crate) fn header(&self) -> HeaderValue {
        self.text.clone()
    }

    /// Compares `presented` with the token in constant time.
    pub(crate) fn matches(&self, presented: Option<&HeaderValue>) -> bool {
        let Some(bytes) = presented.and_then(|value| decode(value.as_bytes())) else {
            return false;
        };
        self.mac.clone().verify_slice(&bytes).is_ok()
    }
}

/// The installation's key can't be used for HMAC.
#[derive(Debug)]
pub(crate) struct InvalidKey;

fn decode(hex: &[u8]) -> Option<Vec<u8>> {
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    hex.chunks(2)
        .map(|pair| match pair {
            [high, low] => Some(digit(*high)? << 4 | digit(*low)?),
            _ => None,
        })
        .collect()
}

impl std::fmt::Debug for PeerToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerToken")
    }
}
