//! Ids of the jobs of the store writer.

use crate::control::RequestId;

/// Identifies a job of the store writer by the part that waits for its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobId {
    /// An operator's submission or outcome query, by the id of its event.
    Submitter(RequestId),
    /// A submission of stop marks by this node. The number is unique in this process.
    StopMarks(u64),
    /// A rollout step submitted by this node as the driver. The number is unique in this process.
    RolloutStep(u64),
}
