//! How many nodes a node sends its configuration to at a time.

/// How many nodes a node sends its configuration to at a time.
///
/// Answers the load pattern in which all nodes of a data centre ask the first one that has a
/// new configuration, over a slow link: sent to all at once, none has it whole before it gives
/// up, and all ask again. A node that is turned away asks another one a little later, when
/// those that were served can pass it on.
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
    /// At most [`TransferLimiter::MAX_TRANSFERS`].
    active: u32,
}

impl TransferLimiter {
    /// Transfers at a time. Two, so that a receiver that is slow or gone does not hold up the
    /// others.
    pub const MAX_TRANSFERS: u32 = 2;

    /// Begins a transfer; false if the node is to ask another one.
    pub const fn begin(&mut self) -> bool {
        let may = self.active < Self::MAX_TRANSFERS;
        if may {
            self.active += 1;
        }
        may
    }

    /// A transfer has ended, however.
    pub const fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }
}
