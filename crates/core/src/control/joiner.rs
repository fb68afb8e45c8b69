//! Join requests to the seeds.

use rand::Rng;

use crate::control::Backoff;
use crate::units::{Instant, Micros, Millis};

/// Bound of the delay after the first failed attempt to join.
const INITIAL_BACKOFF: Millis = Millis::new(200);
/// Largest bound of the delay between attempts to join.
const MAX_BACKOFF: Millis = Millis::new(5_000);
/// Number of attempts to join before a node may start alone.
const MIN_ATTEMPTS_BEFORE_ALONE: u32 = 3;
/// Time after which a node that found no settled node starts without one. Its former links
/// ping it meanwhile, even when no seed runs or the seeds were restarted too: in an
/// installation of up to 16 nodes each of them does so within 4 s.
const MIN_WAIT_BEFORE_ALONE: Millis = Millis::new(5_000);

/// Decides when to send join requests to the seeds.
#[derive(Debug, Clone)]
pub(crate) struct Joiner {
    is_joined: bool,
    attempts: u32,
    started: Instant,
    /// Number of seeds whose reply to the current attempt is outstanding.
    pending_seeds: usize,
    next_attempt: Instant,
    backoff: Backoff,
}

impl Joiner {
    pub(crate) const fn new(now: Instant) -> Self {
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        Self {
            is_joined: false,
            attempts: 0,
            started: now,
            pending_seeds: 0,
            next_attempt: now,
            backoff,
        }
    }

    pub(crate) const fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Starts an attempt with `seeds` seeds if one is due. Returns whether it did.
    pub(crate) fn start_attempt(&mut self, seeds: usize, now: Instant) -> bool {
        let is_due =
            !self.is_joined && seeds > 0 && self.pending_seeds == 0 && now >= self.next_attempt;
        if is_due {
            self.pending_seeds = seeds;
            self.attempts += 1;
        }
        is_due
    }

    /// Returns whether the node has waited long enough for a node that knows its version floor.
    pub(crate) fn has_waited(&self, seeds: usize, now: Instant) -> bool {
        let has_tried = self.is_joined || self.attempts >= MIN_ATTEMPTS_BEFORE_ALONE;
        let is_time = now.since(self.started) >= Micros::from(MIN_WAIT_BEFORE_ALONE);
        seeds == 0 || has_tried && is_time
    }

    /// Records a reply to a join request. Returns whether it is the first one.
    pub(crate) const fn record_answer(&mut self) -> bool {
        !std::mem::replace(&mut self.is_joined, true)
    }

    /// Records that a seed did not answer. The last failure of an attempt starts the backoff.
    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        self.pending_seeds = self.pending_seeds.saturating_sub(1);
        if self.pending_seeds == 0 {
            self.next_attempt = now + self.backoff.next_delay(rng);
        }
    }
}
