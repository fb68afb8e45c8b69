//! Results of handing over a batch of claims.

/// The result of an attempt to hand over a batch of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BatchOutcome {
    /// There was no claim to hand over.
    NoClaims,
    /// The batch was accepted, or given up after too many attempts.
    Finished,
    /// A registrar did not accept the batch, which is sent again later.
    Retry,
}

impl BatchOutcome {
    /// Returns whether the next batch can be sent at once.
    pub(crate) fn is_finished(self) -> bool {
        self == Self::Finished
    }
}
