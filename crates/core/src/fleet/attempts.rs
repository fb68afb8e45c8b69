//! Decides whether a failed call is retried.

use crate::fleet::RetryShare;
use crate::ids::{NodeId, ServiceName};
use crate::units::Instant;
use crate::{RetryReason, Verdict};

/// An attempt of a call that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether a backend server may have run the call.
    pub verdict: Verdict,
    /// Whether the attempt reached a backend server, which ran or refused it.
    pub has_arrived: bool,
}

/// What happens after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAttempt {
    /// The call is sent to another endpoint.
    Retry(RetryReason),
    /// The call fails without a further attempt.
    GiveUp,
}

/// Tracks the attempts of one call and decides on retries.
///
/// An attempt that reached no backend server is retried without using the retry budget that all
/// nodes share. Every arrival after the first uses the budget.
#[derive(Debug)]
pub struct Attempts {
    is_idempotent: bool,
    max_arrivals: u32,
    arrivals: u32,
    undelivered_retries: u32,
    may_have_run: bool,
    /// The nodes whose endpoints were tried and are not chosen again.
    pub tried_nodes: Vec<NodeId>,
}

impl Attempts {
    /// The largest number of retries after attempts that reached no backend server. Bounds the work
    /// of one call when every endpoint refuses it.
    const MAX_UNDELIVERED_RETRIES: u32 = 2;

    /// Starts a call that may arrive at up to `max_arrivals` backend servers.
    pub const fn new(is_idempotent: bool, max_arrivals: u32) -> Self {
        Self {
            is_idempotent,
            max_arrivals,
            arrivals: 0,
            undelivered_retries: 0,
            may_have_run: false,
            tried_nodes: Vec::new(),
        }
    }

    /// Returns the verdict on the whole call, given the verdict on its last attempt.
    pub fn verdict(&self, last: Verdict) -> Verdict {
        if self.may_have_run { Verdict::MayHaveRun } else { last }
    }

    /// Returns whether the next attempt that reaches a backend server is the call's first arrival.
    pub const fn is_first_arrival(&self) -> bool {
        self.arrivals == 0
    }

    /// Returns whether the call may be sent to a second endpoint while the first one still runs it.
    /// Takes a token from the retry budget.
    pub fn may_hedge(
        &mut self,
        now: Instant,
        service: &ServiceName,
        budget: &mut RetryShare,
    ) -> bool {
        let is_allowed = self.is_idempotent && self.arrivals + 1 < self.max_arrivals;
        if !is_allowed || !budget.try_acquire(now, service) {
            return false;
        }
        self.arrivals += 1;
        true
    }

    /// Records the failure of an attempt while another one of the call is under way, whose result
    /// decides what follows.
    pub const fn record_failure_beside(&mut self, verdict: Verdict) {
        self.may_have_run |= matches!(verdict, Verdict::MayHaveRun);
    }

    /// Decides whether the call is retried after a failed attempt.
    pub fn next_after_failure(
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
