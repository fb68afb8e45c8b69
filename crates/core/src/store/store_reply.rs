//! Replies of the store.

use crate::store::StoreError;
use crate::store::{Revision, StoredConfig, StoredHour};

/// Reply to a [`StoreRequest`](crate::store::StoreRequest).
#[derive(Debug, Clone)]
pub enum StoreReply {
    /// The stored configuration, in reply to a read or a watch that found a change.
    Value(StoredConfig),
    /// The stored accounting sums, in reply to a `ReadHour`.
    Hour(StoredHour),
    /// The watch ended without a change.
    Unchanged,
    /// The compare-and-swap took effect and created this revision.
    Written(Revision),
    /// The request failed, possibly after it took effect.
    Failed(StoreError),
}
