//! Collects the pieces of a body.

use bytes::{Bytes, BytesMut};

/// The pieces of a body in one buffer.
///
/// A single piece is kept as it is. Several are copied, because each one may keep a whole read
/// buffer in memory, however short it is.
#[derive(Debug, Default)]
pub(crate) struct BodyBytes {
    /// The only piece so far; empty once there are several.
    single: Bytes,
    /// All pieces, if there are several.
    joined: BytesMut,
}

impl BodyBytes {
    /// Adds a piece to the end.
    pub(crate) fn push(&mut self, piece: Bytes) {
        if self.single.is_empty() && self.joined.is_empty() {
            self.single = piece;
            return;
        }
        self.joined.extend_from_slice(&std::mem::take(&mut self.single));
        self.joined.extend_from_slice(&piece);
    }

    /// Returns the body.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.single } else { self.joined.freeze() }
    }
}
