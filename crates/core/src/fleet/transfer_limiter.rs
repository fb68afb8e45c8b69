//! Limits the transfers of the configuration to other nodes.

use crate::units::{ByteCount, Instant, Micros, Millis};

/// Limits how fast a node sends its configuration to other nodes.
///
/// All nodes of a data centre may ask the first one that has a new configuration at once, over a
/// slow link. A large one, sent to all together, would reach none completely before the requests
/// time out, and all would ask again. A node that is refused asks another one a little later, when
/// those that were served can pass the configuration on. Small configurations are sent to all that
/// ask: a refusal would take longer than they do.
///
/// What the system has taken from the process may still wait for the link, so the limiter goes by
/// the time that the bytes need.
///
/// ```
/// use almondsail_core::fleet::TransferLimiter;
/// use almondsail_core::units::{ByteCount, Instant, Millis};
///
/// let (start, large) = (Instant::new(0), ByteCount::new(200_000));
/// let mut limiter = TransferLimiter::default();
/// assert!(limiter.begin(start, large));
/// assert!(!limiter.begin(start, large));
/// assert!(limiter.begin(start + Millis::new(300), large));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct TransferLimiter {
    /// When the link has carried all that was sent. At most [`Self::MAX_BACKLOG`] and the time of
    /// one transfer after the last one began.
    idle_at: Instant,
}

impl Default for TransferLimiter {
    fn default() -> Self {
        Self { idle_at: Instant::new(0) }
    }
}

impl TransferLimiter {
    /// The bytes that transfers take of a link in a second: half of one of 10 Mbit/s, the rest of
    /// which is for calls.
    pub const BYTES_PER_SECOND: ByteCount = ByteCount::new(625_000);
    /// The time for which earlier transfers may still need the link when a further one begins.
    pub const MAX_BACKLOG: Millis = Millis::new(100);

    /// Begins a transfer of `size` at `now`. Returns false if too many bytes are on their way and
    /// the other node must ask elsewhere.
    pub fn begin(&mut self, now: Instant, size: ByteCount) -> bool {
        let idle_at = self.idle_at.max(now);
        let has_capacity = idle_at.since(now) <= Micros::from(Self::MAX_BACKLOG);
        if has_capacity {
            self.idle_at = idle_at + Self::transfer_time(size);
        }
        has_capacity
    }

    fn transfer_time(size: ByteCount) -> Micros {
        let time = u128::from(size.get()) * 1_000_000 / u128::from(Self::BYTES_PER_SECOND.get());
        Micros::new(u64::try_from(time).unwrap_or(u64::MAX))
    }
}
