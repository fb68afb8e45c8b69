//! Joining through seeds.

use rand::Rng;

use crate::control::Backoff;
use crate::units::{Instant, Micros, Millis};

/// The first and the longest bound of the time between attempts to join.
const FIRST_WAIT: Millis = Millis::new(200);
const LONGEST_WAIT: Millis = Millis::new(5_000);
/// A node is alone after this number of attempts without an answer and this
/// time. Its former links ping it meanwhile, even when no seed runs.
const ATTEMPTS_UNTIL_ALONE: u32 = 3;
const TIME_UNTIL_ALONE: Millis = Millis::new(4_000);

/// Decides when the seeds are asked for admission.
#[derive(Debug, Clone)]
pub(crate) struct Joiner {
    is_joined: bool,
    /// Number of attempts begun.
    attempts: u32,
    /// When the first attempt began.
    began: Instant,
    /// Number of seeds that have not answered the present attempt.
    waiting: usize,
    next: Instant,
    backoff: Backoff,
}

impl Default for Joiner {
    fn default() -> Self {
        let backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        let (began, next) = (Instant::default(), Instant::default());
        Self { is_joined: false, attempts: 0, began, waiting: 0, next, backoff }
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
            if self.attempts == 0 {
                self.began = now;
            }
            self.waiting = seeds;
            self.attempts += 1;
        }
        begins
    }

    /// Whether there is nobody to learn from: no seed is known or none answered often enough.
    pub(crate) fn is_alone(&self, seeds: usize, now: Instant) -> bool {
        let gave_up = self.attempts >= ATTEMPTS_UNTIL_ALONE
            && now.since(self.began) >= Micros::from(TIME_UNTIL_ALONE);
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
