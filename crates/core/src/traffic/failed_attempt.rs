//! A failed attempt of a call.

use crate::units::Micros;
use crate::{RefusalReason, Verdict};

/// An attempt of a call that failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// What is known about the execution.
    pub verdict: Verdict,
    /// Why the attempt failed.
    pub reason: RefusalReason,
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// The number of attempts so far, this one included.
    pub attempts: u8,
    /// The time left.
    pub left: Micros,
}
