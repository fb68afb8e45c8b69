//! Size limits of encoded messages.

/// Largest encoded configuration, in bytes; the store accepts no larger value.
pub const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Largest text after decompression, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Largest frame between nodes, in bytes; holds a configuration of [`MAX_CONFIG_BYTES`].
pub const MAX_FRAME_BYTES: usize = 1_200_000;
