//! The decision on a call after a failed attempt.

use crate::RetryReason;

/// The decision on a call after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the call to another endpoint.
    Retry(RetryReason),
    /// Report the failure to the caller as it is.
    Report,
    /// Report to the caller that the retry budget is used up, with the verdict of the attempt.
    BudgetUsedUp,
}
