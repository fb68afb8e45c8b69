//! Whether a call is sent again.

use crate::fleet::RetryShare;
use crate::ids::{NodeId, ServiceName};
use crate::units::Instant;
use crate::{RetryReason, Verdict};

/// A try of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedTry {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether it arrived at a backend server, run or refused there.
    pub has_arrived: bool,
}

/// What happens after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextTry {
    /// The call is sent to another endpoint.
    Again(RetryReason),
    /// The call has failed.
    GiveUp,
}

/// The tries of one call.
///
/// A try that reached no backend server is repeated for free; a second arrival draws on the
/// budget that all nodes share.
#[derive(Debug)]
pub struct Attempts {
    is_idempotent: bool,
    max_arrivals: u32,
    arrivals: u32,
    moves: u32,
    may_have_run: bool,
    /// The endpoints that were tried.
    pub tried: Vec<NodeId>,
}

impl Attempts {
    /// Moves between endpoints that reached no backend server. Bounds the work of one call when
    /// every endpoint refuses.
    const MAX_MOVES: u32 = 2;

    /// No try yet of a call that may arrive at `max_arrivals` backend servers.
    pub const fn new(is_idempotent: bool, max_arrivals: u32) -> Self {
        Self {
            is_idempotent,
            max_arrivals,
            arrivals: 0,
            moves: 0,
            may_have_run: false,
            tried: Vec::new(),
        }
    }

    /// The verdict on the call after `verdict` on its last try.
    pub fn verdict(&self, last: Verdict) -> Verdict {
        if self.may_have_run { Verdict::MayHaveRun } else { last }
    }

    /// Whether the try that comes next is the call's first arrival, if it arrives.
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
        if !may || !budget.try_take(now, service) {
            return false;
        }
        self.arrivals += 1;
        true
    }

    /// Decides after a failed try.
    pub fn after(
        &mut self,
        now: Instant,
        failed: FailedTry,
        service: &ServiceName,
        budget: &mut RetryShare,
    ) -> NextTry {
        self.may_have_run |= failed.verdict == Verdict::MayHaveRun;
        if self.may_have_run && !self.is_idempotent {
            return NextTry::GiveUp;
        }
        if failed.has_arrived {
            self.arrivals += 1;
            if self.arrivals >= self.max_arrivals || !budget.try_take(now, service) {
                return NextTry::GiveUp;
            }
        } else {
            self.moves += 1;
            if self.moves > Self::MAX_MOVES {
                return NextTry::GiveUp;
            }
        }
        NextTry::Again(match failed.verdict {
            Verdict::NotSent => RetryReason::ConnectFailed,
            Verdict::RefusedUnrun => RetryReason::RefusedUnrun,
            Verdict::MayHaveRun => RetryReason::IdempotentBroken,
        })
    }
}
