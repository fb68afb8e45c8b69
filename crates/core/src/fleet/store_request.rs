//! Requests to the store.

use crate::fleet::{KeySpace, LeaseId, NodeEntry, RolloutProgress, StoreKey};
use crate::store::Revision;
use crate::units::Millis;

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read a page of the items of a space, after a key.
    List(KeySpace, Option<StoreKey>),
    /// Wait for changes of a space after a revision.
    Watch(KeySpace, Revision),
    /// Open a lease.
    OpenLease(Millis),
    /// Renew a lease.
    KeepLease(LeaseId),
    /// Write.
    Write(StoreWrite),
}

/// A write to the store. All of it takes effect, or nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreWrite {
    /// The entry of this node, under a lease.
    Node(NodeEntry, LeaseId),
    /// The progress of a rollout and what the operator is told of it, if the progress still
    /// has the revision; `None` if there must be none.
    Progress(RolloutProgress, Option<Revision>),
}
