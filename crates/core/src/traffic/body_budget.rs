//! The memory limit for bodies of calls.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::ByteCount;

/// Counts and limits the bytes of bodies that a node holds in memory.
#[derive(Debug)]
pub struct BodyBudget {
    /// The number of bytes held; never more than `limit`.
    held: AtomicU64,
    limit: u64,
}

impl BodyBudget {
    /// The limit of a node whose settings don't give another one.
    pub const DEFAULT_LIMIT: ByteCount = ByteCount::new(8 * 1024 * 1024);

    /// Creates a budget of `limit` of which nothing is held.
    pub fn new(limit: ByteCount) -> Self {
        Self { held: AtomicU64::new(0), limit: limit.get() }
    }

    /// Reserves `bytes` and returns `true`, or reserves nothing and returns `false` if the limit
    /// would be exceeded.
    #[must_use]
    pub fn try_acquire(&self, bytes: ByteCount) -> bool {
        let take = |held: u64| held.checked_add(bytes.get()).filter(|&sum| sum <= self.limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Releases `bytes` that were reserved before.
    pub fn release(&self, bytes: ByteCount) {
        self.held.fetch_sub(bytes.get(), Ordering::Relaxed);
    }

    /// Returns the number of bytes that are reserved.
    pub fn held(&self) -> ByteCount {
        ByteCount::new(self.held.load(Ordering::Relaxed))
    }
}
