//! Compression of texts.

use almondsail_wire::{DecodeError, compress, decompress};
use quickcheck::quickcheck;

/// Guards against a peer whose short answer fills the memory of a node when it is decompressed.
#[test]
fn decompress_too_large() {
    let bomb = compress(&vec![b' '; 5 * 1024 * 1024]);
    assert!(bomb.len() < 100_000);
    assert!(matches!(decompress(&bomb), Err(DecodeError::TooLarge { .. })));
}

/// Guards against an answer that breaks off and is taken for a whole text.
#[test]
fn decompress_every_prefix() {
    let bytes = compress(b"a text that is not repeated anywhere: 0123456789");
    for length in 0..bytes.len() {
        assert!(decompress(&bytes[..length]).is_err(), "{length} of {} bytes", bytes.len());
    }
}

quickcheck! {
    /// Guards against a text that is changed on its way.
    fn decompress_any_text(text: Vec<u8>) -> bool {
        decompress(&compress(&text)) == Ok(text)
    }

    /// Guards against bytes of other writers that end the process.
    fn decompress_any_bytes(bytes: Vec<u8>) -> bool {
        decompress(&bytes).map_or(true, |text| compress(&text).len() < 1_000_000)
    }
}
