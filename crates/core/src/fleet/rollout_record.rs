//! What the store holds on a rollout.

use crate::fleet::RolloutOutcome;

/// What the store holds on a rollout, as far as a node has read or written it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutRecord {
    /// No progress of the rollout.
    Missing,
    /// Progress without an end.
    Running,
    /// Progress with the end of the rollout.
    Ended,
}

impl From<Option<RolloutOutcome>> for RolloutRecord {
    fn from(outcome: Option<RolloutOutcome>) -> Self {
        match outcome {
            Some(_) => Self::Ended,
            None => Self::Running,
        }
    }
}
