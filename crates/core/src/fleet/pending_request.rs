//! Requests to the store without an end.

use crate::fleet::KeySpace;
use crate::ids::ServiceName;
use crate::units::{Instant, Millis};

/// A request to the store that has neither been answered nor failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingRequest {
    pub(super) purpose: RequestPurpose,
    pub(super) sent: Instant,
    /// How long the store holds a watch that finds no changes, in which a lost one looks like one
    /// that waits; `None` for all other requests.
    pub(super) watch_time: Option<Millis>,
    /// Whether another request had no answer while this one was pending, so that this one or its
    /// answer may be lost as well.
    pub(super) is_doubtful: bool,
    /// Whether the answer has begun to arrive, which is never doubtful: a large one delays the
    /// answers to other requests on a slow link.
    pub(super) has_head: bool,
}

/// What a pending request to the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    Watch(KeySpace),
    Lease,
    Rollout(ServiceName),
}
