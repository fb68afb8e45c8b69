//! The write that adds a part of an hour to its stored value.

use std::sync::Arc;

use crate::ids::WriteId;
use crate::report::{HourKey, HourSums};
use crate::store::{StoreError, StoreReply, StoreRequest};

/// The write that adds a part of an hour to its stored value.
///
/// Every attempt first reads the value and looks for the write id, so that a write
/// whose answer was lost is recognised. If a write takes effect late, either it or
/// the next compare-and-swap fails, so the part is added only once.
#[derive(Debug, Clone)]
pub(crate) struct HourWrite {
    pub(crate) key: HourKey,
    /// The sums to add. They don't change between attempts.
    part: HourSums,
    id: WriteId,
}

/// The next step after a reply of the store.
#[derive(Debug, Clone)]
pub(crate) enum WriteStep {
    /// Send this request to the store.
    Send(StoreRequest),
    /// The part has been added to the stored value.
    Done,
    /// Start again with a read after a backoff.
    Retry,
    /// The stored value is corrupt, so the part can't be added and is lost.
    Unreadable,
}

impl HourWrite {
    pub(crate) const fn new(key: HourKey, part: HourSums, id: WriteId) -> Self {
        Self { key, part, id }
    }

    /// Returns the first request of an attempt, a read.
    pub(crate) fn begin(&self) -> StoreRequest {
        StoreRequest::ReadHour(self.key.clone())
    }

    pub(crate) fn reply(&self, reply: StoreReply) -> WriteStep {
        match reply {
            StoreReply::Hour(stored) => {
                let value = stored.value.unwrap_or_default();
                if value.contains(self.id) {
                    return WriteStep::Done;
                }
                WriteStep::Send(StoreRequest::SwapHour {
                    key: self.key.clone(),
                    revision: stored.revision,
                    value: Arc::new(value.with(&self.part, self.id)),
                })
            }
            StoreReply::Written(_) => WriteStep::Done,
            StoreReply::Failed(StoreError::Corrupt) => WriteStep::Unreadable,
            StoreReply::Failed(_) | StoreReply::Value(_) | StoreReply::Unchanged => {
                WriteStep::Retry
            }
        }
    }
}
