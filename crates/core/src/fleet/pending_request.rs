//! Requests to the store without an end.

use crate::fleet::{Departure, KeySpace};
use crate::ids::ServiceName;
use crate::store::Revision;
use crate::units::{Instant, Millis};

/// A request to the store that has neither been answered nor failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingRequest {
    pub(super) purpose: RequestPurpose,
    pub(super) sent: Instant,
    /// How long the store holds a watch that finds no changes, in which a lost one looks like one
    /// that waits; `None` for all other requests.
    pub(super) watch_time: Option<Millis>,
    /// The revision after which a watch waits for changes; `None` for all other requests.
    pub(super) after: Option<Revision>,
    /// Whether another request had no answer while this one was pending, so that this one or its
    /// answer may be lost as well.
    pub(super) is_doubtful: bool,
    /// When the answer began to arrive, which is never doubtful from then on: a large one delays the
    /// answers to other requests on a slow link. `None` before.
    pub(super) head: Option<Instant>,
}

/// What a pending request to the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    Watch(KeySpace),
    /// Keeps the entry of this node.
    Lease,
    /// Opens a lease for departures.
    DepartureLease,
    /// Writes these departures.
    Departures(Vec<Departure>),
    Rollout(ServiceName),
}
