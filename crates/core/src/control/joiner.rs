//! Joining through seeds.

use rand::Rng;

use crate::control::Backoff;
use crate::units::{Instant, Millis};

/// The first and the longest bound of the time between attempts to join.
const FIRST_WAIT: Millis = Millis::new(200);
const LONGEST_WAIT: Millis = Millis::new(5_000);
/// After this number of attempts without an answer there is nobody to learn the version floor from.
const ATTEMPTS_UNTIL_ALONE: u32 = 3;

/// Decides when the seeds are asked for admission.
#[derive(Debug, Clone)]
pub(crate) struct Joiner {
    is_joined: bool,
    /// Number of attempts begun.
    attempts: u32,
    /// Number of seeds that have not answered the present attempt.
    waiting: usize,
    next: Instant,
    backoff: Backoff,
}

impl Default for Joiner {
    fn default() -> Self {
        let backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        Self { is_joined: false, attempts: 0, waiting: 0, next: Instant::default(), backoff }
    }
}

impl Joiner {
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

    /// Whether there is nobody to learn from: no seed is known or none answered often enough.
    pub(crate) const fn is_alone(&self, seeds: usize) -> bool {
        let gave_up = self.attempts >= ATTEMPTS_UNTIL_ALONE && self.waiting == 0;
        !self.is_joined && (seeds == 0 || gave_up)
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
