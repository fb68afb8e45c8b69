//! Authenticates messages between nodes with HMAC-SHA-256.

use almondsail_core::control::PeerMessage;
use almondsail_wire::peer::SealedFrame;
use almondsail_wire::{decode_message, encode_message};
use hmac::Mac;

use crate::peer_link::{Direction, OpenError};
use crate::settings::InstallationKey;

/// Adds an HMAC tag made with the installation's key to messages and checks it on arrival.
///
/// Replayed frames are accepted. They are harmless, since each message states facts that are
/// merged by version or incarnation.
#[derive(Debug, Clone)]
pub struct FrameSeal {
    key: InstallationKey,
}

impl FrameSeal {
    /// Creates a seal with the key that all nodes of the installation share.
    pub fn new(key: InstallationKey) -> Self {
        Self { key }
    }

    /// Encodes a message and adds a tag over its direction and body.
    pub fn seal(&self, direction: Direction, message: &PeerMessage) -> SealedFrame {
        let body = encode_message(message);
        let mut mac = self.key.mac(direction.purpose());
        mac.update(&body);
        SealedFrame { body, tag: mac.finalize().into_bytes().to_vec() }
    }

    /// Checks the tag of a frame and only then decodes its message.
    pub fn open(
        &self,
        direction: Direction,
        frame: &SealedFrame,
    ) -> Result<PeerMessage, OpenError> {
        let mut mac = self.key.mac(direction.purpose());
        mac.update(&frame.body);
        mac.verify_slice(&frame.tag).map_err(|_| OpenError::Unauthenticated)?;
        decode_message(&frame.body).map_err(OpenError::Malformed)
    }
}
