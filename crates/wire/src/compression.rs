//! Compression of texts on their way between nodes.

use std::io::{Read as _, Write as _};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use crate::DecodeError;
use crate::limits::MAX_TEXT_BYTES;

/// Compresses `text` in the zlib format (RFC 1950), the content coding `deflate` of HTTP.
///
/// ```
/// let text = "a route, and another route".repeat(100);
/// let compressed = almondsail_wire::compress(text.as_bytes());
/// assert!(compressed.len() < 100);
/// assert_eq!(almondsail_wire::decompress(&compressed), Ok(text.into_bytes()));
/// ```
pub fn compress(text: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(text);
    encoder.finish().unwrap_or_default()
}

/// Decompresses a text of at most 4 MiB. Fails if the bytes are damaged, end early or hold a larger
/// text.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let mut text = Vec::new();
    let limit = MAX_TEXT_BYTES;
    let mut decoder = ZlibDecoder::new(bytes).take(limit as u64 + 1);
    decoder.read_to_end(&mut text).map_err(|e| DecodeError::Malformed(e.to_string()))?;
    if text.len() > limit {
        return Err(DecodeError::TooLarge { bytes: text.len(), limit });
    }
    Ok(text)
}
