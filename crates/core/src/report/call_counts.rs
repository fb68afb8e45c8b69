//! Numbers of a team's calls by outcome.

use crate::RefusalReason;
use crate::report::CallEnd;

/// Numbers of a team's calls by outcome. Each call is counted in exactly one field.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls whose whole answer reached the caller before the deadline.
    pub delivered: u64,
    /// Idempotent calls that were not answered before the deadline and may have run.
    pub late: u64,
    /// Calls that were refused and certainly did not run.
    pub refused: u64,
    /// Non-idempotent calls that were not answered and may have run.
    pub in_doubt: u64,
}

impl CallCounts {
    /// Returns the number of calls of all outcomes.
    pub const fn total(&self) -> u64 {
        self.delivered
            .saturating_add(self.late)
            .saturating_add(self.refused)
            .saturating_add(self.in_doubt)
    }

    /// Adds `other`, the counts of different calls. Saturates at `u64::MAX`.
    pub const fn add(&mut self, other: &Self) {
        self.delivered = self.delivered.saturating_add(other.delivered);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.in_doubt = self.in_doubt.saturating_add(other.in_doubt);
    }

    /// Counts `calls` calls that ended with `end` on a route that is idempotent or not.
    pub const fn record(&mut self, end: CallEnd, is_idempotent: bool, calls: u64) {
        let count = match (Delivery::of(end), is_idempotent) {
            (Delivery::Delivered, _) => &mut self.delivered,
            (Delivery::NotRun, _) | (Delivery::NotRetried, false) => &mut self.refused,
            (Delivery::NotRetried, true) => &mut self.late,
            (Delivery::Unknown, true) => &mut self.late,
            (Delivery::Unknown, false) => &mut self.in_doubt,
        };
        *count = count.saturating_add(calls);
    }
}

/// The delivery of a call as far as its end shows it.
enum Delivery {
    /// The caller received the whole answer.
    Delivered,
    /// The call certainly did not run.
    NotRun,
    /// The call was due for a retry that was not made. A non-idempotent call is retried
    /// only if it did not run; an idempotent one may have run.
    NotRetried,
    /// The call was not answered and may have run.
    Unknown,
}

impl Delivery {
    const fn of(end: CallEnd) -> Self {
        match end {
            CallEnd::Answered => Self::Delivered,
            CallEnd::Cancelled => Self::Unknown,
            CallEnd::Failed(reason) => match reason {
                RefusalReason::RepeatInDoubt
                | RefusalReason::DeadlinePassed
                | RefusalReason::BrokenExchange
                | RefusalReason::BadAnswer => Self::Unknown,
                RefusalReason::NoConfig
                | RefusalReason::OutdatedConfig
                | RefusalReason::PartialConfig
                | RefusalReason::UnknownRoute
                | RefusalReason::BadRequest
                | RefusalReason::UnknownCredential
                | RefusalReason::QuotaExceeded
                | RefusalReason::QuotaUnknown
                | RefusalReason::HeaderTooLarge
                | RefusalReason::BodyTooLarge
                | RefusalReason::BodyMemory
                | RefusalReason::KeyRegistrarUnreachable
                | RefusalReason::NoBackend
                | RefusalReason::BackendDown
                | RefusalReason::Evacuated
                | RefusalReason::ColdServer
                | RefusalReason::Leaving
                | RefusalReason::StoppedVersion
                | RefusalReason::QueueFull
                | RefusalReason::Displaced
                | RefusalReason::DeadlineTooNear
                | RefusalReason::BackendShed
                | RefusalReason::ConnectFailed
                | RefusalReason::PeerUnauthorized => Self::NotRun,
                RefusalReason::RetryBudget => Self::NotRetried,
            },
        }
    }
}
