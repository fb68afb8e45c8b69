//! What follows a failed attempt.

use crate::RetryReason;

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the call to another endpoint.
    Retry(RetryReason),
    /// Report the failure to the caller as it is.
    Report,
    /// Report that the budget for retries is used up; the verdict stays.
    BudgetUsedUp,
}
