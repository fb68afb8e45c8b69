//! The token by which nodes of one installation know each other.

use hmac::{Hmac, Mac as _};
use http::HeaderValue;
use sha2::Sha256;

/// What the token is derived for, so that no other use of the key yields the same bytes.
const DERIVATION_CONTEXT: &[u8] = b"almondsail door token 1";

/// The token that a node presents to other nodes.
#[derive(Clone)]
pub(crate) struct PeerToken {
    mac: Hmac<Sha256>,
    text: HeaderValue,
}

impl PeerToken {
    /// Derives the token from the installation's key.
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

    /// The token as a header's value.
    pub(crate) fn header(&self) -> HeaderValue {
        self.text.clone()
    }

    /// Whether `presented` is the token. The time taken does not depend on where they differ.
    pub(crate) fn matches(&self, presented: Option<&HeaderValue>) -> bool {
        let Some(bytes) = presented.and_then(|value| decode(value.as_bytes())) else {
            return false;
        };
        self.mac.clone().verify_slice(&bytes).is_ok()
    }
}

/// The installation's key can't be used.
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
