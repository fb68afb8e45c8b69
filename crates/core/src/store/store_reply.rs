//! Replies of the store.

use crate::store::StoreError;
use crate::store::{Revision, StoredConfig, StoredHour};

/// The reply to a request to the store.
#[derive(Debug, Clone)]
pub enum StoreReply {
    /// The value, for a read or a watch.
    Value(StoredConfig),
    /// The sums of an hour, for a read of them.
    Hour(StoredHour),
    /// The watch ended without a change.
    Unchanged,
    /// The compare-and-swap took effect.
    Written(Revision),
    /// The request failed.
    Failed(StoreError),
}
