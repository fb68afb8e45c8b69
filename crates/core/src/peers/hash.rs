//! Hashes that are the same on every node.

use crate::ids::Digest;

/// Returns a 64-bit hash of `text` that is the same in every process.
pub(crate) fn hash_text(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&Digest::of(text.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Mixes the bits of `value` with the finaliser of SplitMix64.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
