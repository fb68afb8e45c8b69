//! The facts about a failed attempt that decide on a retry.

use crate::units::Micros;
use crate::{RefusalReason, Verdict};

/// A failed attempt of a call, with the facts that decide on a retry.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Whether the call was sent, or may have run, in this attempt.
    pub verdict: Verdict,
    /// The reason that the refusing or failing node gave.
    pub reason: RefusalReason,
    /// Whether the call's route is declared idempotent, so that the call may run more than once.
    pub idempotent: bool,
    /// The number of attempts of the call so far, including this one.
    pub attempts: u8,
    /// The time left until the call's deadline.
    pub remaining: Micros,
}
