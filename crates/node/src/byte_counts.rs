//! Counts of bytes sent and received.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes sent and received on one connection or on several.
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

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
