//! Authentication of messages between nodes.

use std::fmt;

use almondsail_core::control::PeerMessage;
use almondsail_wire::peer::SealedFrame;
use almondsail_wire::{DecodeError, decode_message, encode_message};
use hmac::Mac;

use crate::settings::InstallationKey;

/// Whether a frame is a request or a reply, so that one can't pass for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the node that asks.
    Request,
    /// From the node that answers.
    Reply,
}

impl Direction {
    const fn purpose(self) -> &'static str {
        match self {
            Self::Request => "peer-request",
            Self::Reply => "peer-reply",
        }
    }
}

/// Why a frame is not accepted.
#[derive(Debug)]
pub enum OpenError {
    /// The tag does not match: the sender has another key, or the frame was changed.
    Unauthenticated,
    /// The body is not a message.
    Malformed(DecodeError),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthenticated => f.write_str("the frame's tag does not match"),
            Self::Malformed(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for OpenError {}

/// Seals messages with the installation's key and opens sealed ones.
///
/// A repeated frame is accepted. That does no harm, since each message states
/// facts that are merged by version or incarnation.
#[derive(Debug, Clone)]
pub struct FrameSeal {
    key: InstallationKey,
}

impl FrameSeal {
    /// A seal with this key.
    pub fn new(key: InstallationKey) -> Self {
        Self { key }
    }

    /// Encodes a message and adds its tag.
    pub fn seal(&self, direction: Direction, message: &PeerMessage) -> SealedFrame {
        let body = encode_message(message);
        let mut mac = self.key.mac(direction.purpose());
        mac.update(&body);
        SealedFrame { body, tag: mac.finalize().into_bytes().to_vec() }
    }

    /// Checks a frame's tag and decodes its message.
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
