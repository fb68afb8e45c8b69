//! Encoding and decoding of configurations, hourly sums and peer messages.

use almondsail_core::config::Config;
use almondsail_core::control::PeerMessage;
use almondsail_core::ids::Digest;
use almondsail_core::report::HourValue;
use prost::Message;

use crate::{DecodeError, FieldError, MAX_CONFIG_BYTES, MAX_FRAME_BYTES, config, peer, report};

/// Encodes a configuration for the store, with its digest.
pub fn encode_config(cfg: &Config) -> Vec<u8> {
    config::Config::from(cfg).encode_to_vec()
}

/// Decodes a configuration from the store; fails if its digest does not match.
pub fn decode_config(bytes: &[u8]) -> Result<Config, DecodeError> {
    let cfg: config::Config = decode(bytes, MAX_CONFIG_BYTES)?;
    Ok(cfg.try_into()?)
}

/// Encodes the sums of an hour for the store, with their digest.
pub fn encode_hour(value: &HourValue) -> Vec<u8> {
    let mut hour = report::Hour::from(value);
    hour.digest = Digest::of(&hour.encode_to_vec()).as_bytes().to_vec();
    hour.encode_to_vec()
}

/// Decodes the sums of an hour from the store; fails if their digest does not match.
pub fn decode_hour(bytes: &[u8]) -> Result<HourValue, DecodeError> {
    let mut hour: report::Hour = decode(bytes, MAX_CONFIG_BYTES)?;
    let digest = std::mem::take(&mut hour.digest);
    if digest != Digest::of(&hour.encode_to_vec()).as_bytes() {
        return Err(FieldError::new("digest", "does not match the sums").into());
    }
    Ok(hour.try_into()?)
}

/// Encodes a peer message as the body of a frame.
pub fn encode_message(message: &PeerMessage) -> Vec<u8> {
    peer::PeerMessage::from(message).encode_to_vec()
}

/// Decodes a peer message of at most [`MAX_FRAME_BYTES`].
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    let message: peer::PeerMessage = decode(bytes, MAX_FRAME_BYTES)?;
    Ok(message.try_into()?)
}

pub(super) fn decode<M: Message + Default>(bytes: &[u8], limit: usize) -> Result<M, DecodeError> {
    if bytes.len() > limit {
        return Err(DecodeError::TooLarge { bytes: bytes.len(), limit });
    }
    M::decode(bytes).map_err(|e| DecodeError::Malformed(e.to_string()))
}
