//! The progress of a handover.

/// What became of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BatchOutcome {
    /// No claim was left.
    NoClaims,
    /// The batch is done.
    Finished,
    /// A registrar did not take the batch, which is sent again later.
    Retry,
}

impl BatchOutcome {
    /// Whether the next batch can follow at once.
    pub(crate) fn is_finished(self) -> bool {
        self == Self::Finished
    }
}
