//! Requests to the store without an end.

use crate::fleet::KeySpace;
use crate::ids::ServiceName;
use crate::units::Instant;

/// A request to the store that has neither been answered nor failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingRequest {
    pub(super) purpose: RequestPurpose,
    pub(super) sent: Instant,
    /// Whether the store answers only when something changes, so that a lost request looks like one
    /// that waits.
    pub(super) is_long_poll: bool,
    /// Whether another request had no answer while this one was pending, so that this one or its
    /// answer may be lost as well.
    pub(super) is_doubtful: bool,
}

/// What a pending request to the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    Watch(KeySpace),
    Lease,
    Rollout(ServiceName),
}
