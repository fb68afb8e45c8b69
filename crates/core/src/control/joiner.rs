//! Joining through seeds.

use rand::Rng;

use crate::control::Backoff;
use crate::units::{Instant, Micros, Millis};

/// The first and the longest bound of the time between attempts to join.
const FIRST_WAIT: Millis = Millis::new(200);
const LONGEST_WAIT: Millis = Millis::new(5_000);
/// A node that is not joined makes this number of attempts before it starts alone.
const ATTEMPTS_UNTIL_ALONE: u32 = 3;
/// A node that finds no settled node starts after this time. Its former links
/// ping it meanwhile, even when no seed runs or the seeds were restarted too: in
/// an installation of up to 16 nodes each of them does so within 4 s.
const TIME_UNTIL_ALONE: Millis = Millis::new(5_000);

/// Decides when the seeds are asked for admission.
#[derive(Debug, Clone)]
pub(crate) struct Joiner {
    is_joined: bool,
    /// Number of attempts begun.
    attempts: u32,
    /// When this node was started.
    started: Instant,
    /// Number of seeds that have not answered the present attempt.
    waiting: usize,
    next: Instant,
    backoff: Backoff,
}

impl Joiner {
    pub(crate) const fn new(now: Instant) -> Self {
        let backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        Self { is_joined: false, attempts: 0, started: now, waiting: 0, next: now, backoff }
    }

    pub(crate) const fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Whether `seeds` seeds are to be asked now.
    pub(crate) fn begins_attempt(&mut self, seeds: usize, now: Instant) -> bool {
        let begins = !self.is_joined && seeds > 0 && self.waiting == 0 && now >= self.next;
        if begins {
            self.waiting = seeds;
            self.attempts += 1;
        }
        begins
    }

    /// Whether the node has waited long enough for somebody who knows its version floor.
    pub(crate) fn has_waited(&self, seeds: usize, now: Instant) -> bool {
        let has_tried = self.is_joined || self.attempts >= ATTEMPTS_UNTIL_ALONE;
        let is_time = now.since(self.started) >= Micros::from(TIME_UNTIL_ALONE);
        seeds == 0 || has_tried && is_time
    }

    /// A seed answered; returns whether it is the first one to do so.
    pub(crate) const fn succeed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_joined, true)
    }

    /// A seed did not answer.
    pub(crate) fn fail(&mut self, now: Instant, rng: &mut impl Rng) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.next = now + self.backoff.draw(rng);
        }
    }
}
