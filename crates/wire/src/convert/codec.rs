//! Encoding and decoding of whole messages.

use almondsail_core::config::Config;
use almondsail_core::control::PeerMessage;
use prost::Message;

use crate::{DecodeError, MAX_CONFIG_BYTES, MAX_FRAME_BYTES, config, peer};

/// Encodes a configuration, as it is kept in the store.
pub fn encode_config(cfg: &Config) -> Vec<u8> {
    config::Config::from(cfg).encode_to_vec()
}

/// Decodes a configuration and compares its digest.
pub fn decode_config(bytes: &[u8]) -> Result<Config, DecodeError> {
    let cfg: config::Config = decode(bytes, MAX_CONFIG_BYTES)?;
    Ok(cfg.try_into()?)
}

/// Encodes a message between nodes.
pub fn encode_message(message: &PeerMessage) -> Vec<u8> {
    peer::PeerMessage::from(message).encode_to_vec()
}

/// Decodes a message between nodes.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    let message: peer::PeerMessage = decode(bytes, MAX_FRAME_BYTES)?;
    Ok(message.try_into()?)
}

fn decode<M: Message + Default>(bytes: &[u8], limit: usize) -> Result<M, DecodeError> {
    if bytes.len() > limit {
        return Err(DecodeError::TooLarge { bytes: bytes.len(), limit });
    }
    M::decode(bytes).map_err(|e| DecodeError::Malformed(e.to_string()))
}
