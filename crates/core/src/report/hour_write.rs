//! The addition of a part of an hour to the value in the store.

use std::sync::Arc;

use crate::ids::WriteId;
use crate::report::{HourKey, HourSums};
use crate::store::{StoreError, StoreReply, StoreRequest};

/// The addition of a part of an hour to the value in the store.
///
/// Every attempt reads first and looks for the write id, so that a write whose
/// answer was lost is recognised; a write that takes effect late makes the next
/// compare-and-swap fail, or fails itself.
#[derive(Debug, Clone)]
pub(crate) struct HourWrite {
    pub(crate) key: HourKey,
    /// The part. It does not change while the write is under way.
    part: HourSums,
    id: WriteId,
}

/// What follows from a reply of the store.
#[derive(Debug, Clone)]
pub(crate) enum WriteStep {
    /// Send this request.
    Send(StoreRequest),
    /// The part has been added.
    Done,
    /// Begin again after a while, with a read.
    Retry,
    /// The stored value can't be read: the part can't be added to it.
    Unreadable,
}

impl HourWrite {
    pub(crate) const fn new(key: HourKey, part: HourSums, id: WriteId) -> Self {
        Self { key, part, id }
    }

    /// The first request of an attempt.
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
