//! Limits on the size of messages.

/// Number of bytes of an encoded configuration at most: the store holds no larger value.
pub const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Number of bytes of a frame between nodes at most: room for a whole configuration.
pub const MAX_FRAME_BYTES: usize = 1_200_000;
