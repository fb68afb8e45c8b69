//! Whether a call is sent again.

use crate::fleet::RetryShare;
use crate::ids::{NodeId, ServiceName};
use crate::units::Instant;
use crate::{RetryReason, Verdict};

/// A failed attempt of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether it arrived at a backend server, run or refused there.
    pub has_arrived: bool,
}

/// What happens after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAttempt {
    /// The call is sent to another endpoint.
    Retry(RetryReason),
    /// The call has failed.
    GiveUp,
}

/// The attempts of one call.
///
/// An attempt that reached no backend server is repeated for free; a second arrival draws on the
/// budget that all nodes share.
#[derive(Debug)]
pub struct Attempts {
    is_idempotent: bool,
    max_arrivals: u32,
    arrivals: u32,
    undelivered_retries: u32,
    may_have_run: bool,
    /// The endpoints that were tried.
    pub tried: Vec<NodeId>,
}

impl Attempts {
    /// Moves between endpoints that reached no backend server. Bounds the work of one call when
    /// every endpoint refuses.
    const MAX_UNDELIVERED_RETRIES: u32 = 2;

    /// No attempt yet of a call that may arrive at `max_arrivals` backend servers.
    pub const fn new(is_idempotent: bool, max_arrivals: u32) -> Self {
        Self {
            is_idempotent,
            max_arrivals,
            arrivals: 0,
            undelivered_retries: 0,
            may_have_run: false,
            tried: Vec::new(),
        }
    }

    /// The verdict on the call after `verdict` on its last attempt.
    pub fn verdict(&self, last: Verdict) -> Verdict {
        if self.may_have_run { Verdict::MayHaveRun } else { last }
    }

    /// Whether the next attempt is the call's first arrival, if it arrives.
    pub const fn is_first_arrival(&self) -> bool {
        self.arrivals == 0
    }

    /// Whether the call may be sent to a second endpoint while the first still runs it. Draws on
    /// the budget.
    pub fn may_hedge(
        &mut self,
        now: Instant,
        service: &ServiceName,
        budget: &mut RetryShare,
    ) -> bool {
        let may = self.is_idempotent && self.arrivals + 1 < self.max_arrivals;
        if !may || !budget.try_acquire(now, service) {
            return false;
        }
        self.arrivals += 1;
        true
    }

    /// Decides after a failed attempt.
    pub fn after(
        &mut self,
        now: Instant,
        failed: FailedAttempt,
        service: &ServiceName,
        budget: &mut RetryShare,
    ) -> NextAttempt {
        self.may_have_run |= failed.verdict == Verdict::MayHaveRun;
        if self.may_have_run && !self.is_idempotent {
            return NextAttempt::GiveUp;
        }
        if failed.has_arrived {
            self.arrivals += 1;
            if self.arrivals >= self.max_arrivals || !budget.try_acquire(now, service) {
                return NextAttempt::GiveUp;
            }
        } else {
            self.undelivered_retries += 1;
            if self.undelivered_retries > Self::MAX_UNDELIVERED_RETRIES {
                return NextAttempt::GiveUp;
            }
        }
        NextAttempt::Retry(match failed.verdict {
            Verdict::NotSent => RetryReason::ConnectFailed,
            Verdict::RefusedUnrun => RetryReason::RefusedUnrun,
            Verdict::MayHaveRun => RetryReason::IdempotentBroken,
        })
    }
}
