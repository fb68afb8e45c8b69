//! Limits on the bytes that are read from a connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use almondsail_core::units::ByteCount;

/// The number of bytes that may still be read from a connection; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadAllowance {
    left: Arc<AtomicUsize>,
}

impl ReadAllowance {
    /// Allows to read `bytes` from now on, and no more of what was allowed before.
    pub(crate) fn set(&self, bytes: ByteCount) {
        let bytes = usize::try_from(bytes.get()).unwrap_or(usize::MAX);
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes that may still be read.
    pub(crate) fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed)
    }

    /// Returns whether no byte may be read.
    pub(crate) fn is_used_up(&self) -> bool {
        self.left() == 0
    }

    /// Subtracts `bytes` that were read, at most the number that is left.
    pub(crate) fn subtract(&self, bytes: usize) {
        self.left.fetch_sub(bytes, Ordering::Relaxed);
    }
}
