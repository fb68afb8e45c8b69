//! Counts of a team's calls by how they ended.

use crate::RefusalReason;
use crate::report::CallEnd;

/// Counts of a team's calls by how they ended. Each call is in exactly one of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Answered in full before the deadline.
    pub delivered: u64,
    /// Not answered before the deadline.
    pub late: u64,
    /// Refused, and certainly not run.
    pub refused: u64,
    /// Non-idempotent calls that were not answered and may have run.
    pub in_doubt: u64,
}

impl CallCounts {
    /// The number of calls.
    pub const fn total(&self) -> u64 {
        self.delivered
            .saturating_add(self.late)
            .saturating_add(self.refused)
            .saturating_add(self.in_doubt)
    }

    /// Adds the counts of other calls.
    pub const fn add(&mut self, other: &Self) {
        self.delivered = self.delivered.saturating_add(other.delivered);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.in_doubt = self.in_doubt.saturating_add(other.in_doubt);
    }

    /// Counts calls on a route that ended alike.
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

/// What the end of a call says about its delivery.
enum Delivery {
    Delivered,
    /// It was certainly not run.
    NotRun,
    /// It was not tried again. A non-idempotent call is tried again only if it
    /// was not run; an idempotent one may have run.
    NotRetried,
    /// It was not answered and may have run.
    Unknown,
}

impl Delivery {
    const fn of(end: CallEnd) -> Self {
        match end {
            CallEnd::Answered => Self::Delivered,
            CallEnd::GivenUp => Self::Unknown,
            CallEnd::Failed(reason) => match reason {
                RefusalReason::RepeatInDoubt
                | RefusalReason::DeadlinePassed
                | RefusalReason::BrokenExchange
                | RefusalReason::BadAnswer => Self::Unknown,
                RefusalReason::NoConfig
                | RefusalReason::UnknownRoute
                | RefusalReason::BadRequest
                | RefusalReason::HeaderTooLarge
                | RefusalReason::BodyTooLarge
                | RefusalReason::BodyMemory
                | RefusalReason::KeyRegistrarUnreachable
                | RefusalReason::NoBackend
                | RefusalReason::BackendDown
                | RefusalReason::Leaving
                | RefusalReason::StoppedVersion
                | RefusalReason::QueueFull
                | RefusalReason::DeadlineTooNear
                | RefusalReason::BackendShed
                | RefusalReason::ConnectFailed
                | RefusalReason::PeerUnauthorized => Self::NotRun,
                RefusalReason::RetryBudget => Self::NotRetried,
            },
        }
    }
}
