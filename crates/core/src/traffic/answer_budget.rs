//! The memory limit for answers that are being read.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::ByteCount;

/// Limits the bytes of the answers that a node reads at the same time.
///
/// An answer may take no more than it leaves to the others. So the longest ones are cut first when
/// many are long, and short ones pass beside them.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    /// The number of bytes held; never more than `LIMIT`.
    held: AtomicU64,
}

impl AnswerBudget {
    /// The limit for all answers together.
    pub const LIMIT: ByteCount = ByteCount::new(16 * 1024 * 1024);
    /// The limit for one answer.
    pub const MAX_ANSWER: ByteCount = ByteCount::new(4 * 1024 * 1024);

    /// Reserves `bytes` for an answer that holds `own` and returns `true`, or reserves nothing and
    /// returns `false` if the answer has become too long.
    #[must_use]
    pub fn try_grow(&self, own: ByteCount, bytes: ByteCount) -> bool {
        let take = |held: u64| {
            let sum = held.checked_add(bytes.get())?;
            let left = Self::LIMIT.get().checked_sub(sum)?;
            let own = own.get().checked_add(bytes.get())?;
            (own <= left.min(Self::MAX_ANSWER.get())).then_some(sum)
        };
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
