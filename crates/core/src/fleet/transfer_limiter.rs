//! Limits concurrent transfers of the configuration to other nodes.

/// Limits how many nodes a node sends its configuration to at a time.
///
/// All nodes of a data centre may ask the first one that has a new configuration at once, over a
/// slow link. Sent to all together, it would reach none completely before the requests time out,
/// and all would ask again. A node that is refused asks another one a little later, when those that
/// were served can pass the configuration on.
///
/// ```
/// use almondsail_core::fleet::TransferLimiter;
///
/// let mut limiter = TransferLimiter::default();
/// assert!(limiter.begin() && limiter.begin());
/// assert!(!limiter.begin());
/// limiter.end();
/// assert!(limiter.begin());
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct TransferLimiter {
    /// The number of current transfers, at most [`TransferLimiter::MAX_TRANSFERS`].
    active: u32,
}

impl TransferLimiter {
    /// The largest number of concurrent transfers. Two, so that a receiver that is slow or gone
    /// does not block the others.
    pub const MAX_TRANSFERS: u32 = 2;

    /// Begins a transfer. Returns false if the limit is reached and the other node must ask
    /// elsewhere.
    pub const fn begin(&mut self) -> bool {
        let has_capacity = self.active < Self::MAX_TRANSFERS;
        if has_capacity {
            self.active += 1;
        }
        has_capacity
    }

    /// Ends a transfer, complete or not.
    pub const fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }
}
