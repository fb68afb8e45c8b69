//! The memory that bodies may take.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::ByteCount;

/// Counts the bytes of bodies that a node holds, and limits them.
#[derive(Debug)]
pub struct BodyBudget {
    /// The bytes held; never more than `limit`.
    held: AtomicU64,
    limit: u64,
}

impl BodyBudget {
    /// The limit of a node.
    pub const DEFAULT_LIMIT: ByteCount = ByteCount::new(8 * 1024 * 1024);

    /// A budget of `limit`, of which nothing is taken.
    pub fn new(limit: ByteCount) -> Self {
        Self { held: AtomicU64::new(0), limit: limit.get() }
    }

    /// Takes `bytes`; `false`, with nothing taken, if they are not available.
    #[must_use]
    pub fn try_acquire(&self, bytes: ByteCount) -> bool {
        let take = |held: u64| held.checked_add(bytes.get()).filter(|&sum| sum <= self.limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Gives back `bytes` that were taken.
    pub fn release(&self, bytes: ByteCount) {
        self.held.fetch_sub(bytes.get(), Ordering::Relaxed);
    }

    /// The bytes taken.
    pub fn held(&self) -> ByteCount {
        ByteCount::new(self.held.load(Ordering::Relaxed))
    }
}
