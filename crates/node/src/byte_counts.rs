//! Counters of bytes sent and received.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shared counters of the bytes sent and received on one or more connections.
#[derive(Debug, Clone, Default)]
pub struct ByteCounts {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ByteCounts {
    /// Returns the number of bytes written to the connections since the counters were created.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read from the connections since the counters were created.
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
