//! Counts of control bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of control messages to and from other nodes.
#[derive(Debug, Clone, Default)]
pub struct ByteCounts {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ByteCounts {
    /// Number of bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Number of bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(super) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
