//! The rules for sending a failed call again.

use crate::traffic::{FailedAttempt, RetryBudget, RetryDecision};
use crate::units::{Instant, Micros};
use crate::{RefusalReason, RetryReason};

/// Decides whether a failed call is sent to another endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// The largest number of attempts of one call, including the first.
    pub const MAX_ATTEMPTS: u8 = 3;
    /// The least time left until the deadline for which another attempt is sent.
    pub const MIN_LEFT: Micros = Micros::new(2_000);

    /// Decides on a call after the attempt `failed`. Uses up `budget` only for a retry.
    pub fn decide(
        self,
        failed: FailedAttempt,
        budget: &RetryBudget,
        now: Instant,
    ) -> RetryDecision {
        let Some(reason) = retry_reason(failed) else { return RetryDecision::Report };
        if failed.attempts >= Self::MAX_ATTEMPTS || failed.remaining < Self::MIN_LEFT {
            return RetryDecision::Report;
        }
        if budget.try_acquire(now) {
            RetryDecision::Retry(reason)
        } else {
            RetryDecision::BudgetUsedUp
        }
    }
}

/// Returns the reason for which the call may be sent again; `None` if it may not, or if another
/// endpoint would fail in the same way.
fn retry_reason(failed: FailedAttempt) -> Option<RetryReason> {
    use RefusalReason as R;
    if !failed.verdict.is_safe_to_retry() {
        let broken = matches!(failed.reason, R::BrokenExchange | R::BadAnswer);
        return (failed.idempotent && broken).then_some(RetryReason::IdempotentBroken);
    }
    match failed.reason {
        R::ConnectFailed | R::BrokenExchange => Some(RetryReason::ConnectFailed),
        R::Leaving => Some(RetryReason::Leaving),
        R::NoBackend
        | R::BackendDown
        | R::StoppedVersion
        | R::Evacuated
        | R::ColdServer
        | R::QueueFull
        | R::Displaced
        | R::DeadlineTooNear
        | R::BackendShed
        | R::BodyMemory
        | R::NoConfig
        | R::OutdatedConfig
        | R::PartialConfig => Some(RetryReason::RefusedUnrun),
        R::UnknownRoute
        | R::BadRequest
        | R::UnknownCredential
        | R::QuotaExceeded
        | R::QuotaUnknown
        | R::HeaderTooLarge
        | R::BodyTooLarge
        | R::KeyRegistrarUnreachable
        | R::RepeatInDoubt
        | R::DeadlinePassed
        | R::BadAnswer
        | R::RetryBudget
        | R::PeerUnauthorized => None,
    }
}
