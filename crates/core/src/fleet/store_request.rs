//! Requests to the store.

use crate::fleet::{Departure, KeySpace, LeaseId, NodeEntry, RolloutProgress, StoreKey};
use crate::store::Revision;
use crate::units::Millis;

/// A request to the store, which the process sends for the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read a page of the items of a key space, after a key if there is one.
    List(KeySpace, Option<StoreKey>),
    /// Wait for changes of a key space after a revision. Without one, the store answers after the
    /// time.
    Watch(KeySpace, Revision, Millis),
    /// Open a lease that lapses after this time without a renewal.
    OpenLease(Millis),
    /// Renew a lease before it lapses.
    KeepLease(LeaseId),
    /// Write items, all of them or none.
    Write(StoreWrite),
}

/// A write to the store. All of it takes effect, or nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreWrite {
    /// Writes the entry of this node under a lease.
    Node(NodeEntry, LeaseId),
    /// Writes departures of backend servers under a lease.
    Departures(Vec<Departure>, LeaseId),
    /// Writes the progress of a rollout and its status for the operator, if the progress in the
    /// store still has the revision; `None` if there must be none.
    Progress(RolloutProgress, Option<Revision>),
}
