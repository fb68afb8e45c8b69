//! Limits concurrent transfers of the configuration to other nodes.

use crate::units::ByteCount;

/// Limits how many nodes a node sends its configuration to at a time.
///
/// All nodes of a data centre may ask the first one that has a new configuration at once, over a
/// slow link. A large one, sent to all together, would reach none completely before the requests
/// time out, and all would ask again. A node that is refused asks another one a little later, when
/// those that were served can pass the configuration on. Small configurations are sent to all that
/// ask: a refusal would take longer than they do.
///
/// ```
/// use almondsail_core::fleet::TransferLimiter;
/// use almondsail_core::units::ByteCount;
///
/// let large = ByteCount::new(200_000);
/// let mut limiter = TransferLimiter::default();
/// assert!(limiter.begin(large) && limiter.begin(large));
/// assert!(!limiter.begin(large));
/// limiter.end(large);
/// assert!(limiter.begin(large));
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct TransferLimiter {
    /// The number of current transfers.
    active: u32,
    /// The bytes of the current transfers; at most [`Self::MAX_BYTES`] with more than
    /// [`Self::MIN_TRANSFERS`] of them.
    bytes: ByteCount,
}

impl TransferLimiter {
    /// The number of concurrent transfers of any size. Two, so that a receiver that is slow or gone
    /// does not block the others.
    pub const MIN_TRANSFERS: u32 = 2;
    /// The bytes of all concurrent transfers if there are more: a tenth of a second of a link of
    /// 10 Mbit/s.
    pub const MAX_BYTES: ByteCount = ByteCount::new(128 * 1024);

    /// Begins a transfer of `size`. Returns false if the limit is reached and the other node must
    /// ask elsewhere.
    pub const fn begin(&mut self, size: ByteCount) -> bool {
        let bytes = self.bytes.get().saturating_add(size.get());
        let has_capacity = self.active < Self::MIN_TRANSFERS || bytes <= Self::MAX_BYTES.get();
        if has_capacity {
            self.active += 1;
            self.bytes = ByteCount::new(bytes);
        }
        has_capacity
    }

    /// Ends a transfer of `size`, complete or not.
    pub const fn end(&mut self, size: ByteCount) {
        self.active = self.active.saturating_sub(1);
        self.bytes = ByteCount::new(self.bytes.get().saturating_sub(size.get()));
    }
}
