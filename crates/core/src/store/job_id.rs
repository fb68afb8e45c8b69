//! Who waits for a job of the writer.

use crate::control::RequestId;

/// Who waits for a job of the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobId {
    /// An operator.
    Submitter(RequestId),
    /// This node itself, which records stop marks; the number is unique.
    StopMarks(u64),
    /// This node itself, which drives a rollout; the number is unique.
    RolloutStep(u64),
}
