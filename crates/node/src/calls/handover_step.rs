//! The progress of a handover.

/// What became of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverStep {
    /// No claim was left.
    All,
    /// The batch is done.
    Some,
    /// A registrar did not take the batch, which is sent again later.
    Failed,
}

impl HandoverStep {
    /// Whether the next batch can follow at once.
    pub(crate) fn is_more(self) -> bool {
        self == Self::Some
    }
}
