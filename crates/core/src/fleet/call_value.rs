//! The value of serving a call.

use crate::units::{Instant, Micros};

/// The value of serving a call that starts at a given time, and so the cost of refusing it.
///
/// The values of calls compare within a rank; between ranks, the rank decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallValue {
    /// The probability that the answer meets the target.
    in_time: f64,
    /// The probability that the answer meets the deadline; at least `in_time`.
    served: f64,
    run_time: Micros,
}

impl CallValue {
    /// The value of a late answer, relative to that of an answer in time.
    const LATE_VALUE: f64 = 1.0 / 3.0;
    /// An answer after less than this multiple of the expected run time is improbable.
    const SHORTEST_RUN: f64 = 0.5;
    /// An answer after more than this multiple of the expected run time is improbable.
    const LONGEST_RUN: f64 = 1.5;
    /// An answer is likely if its probability is at least this.
    const LIKELY: f64 = 0.5;
    /// The lowest value for which a call is sent to another endpoint once more.
    const MIN_ATTEMPT_VALUE: f64 = 0.1;

    /// Returns the value of a call that is expected to start at `start` and to run for `run_time`.
    pub fn new(start: Instant, run_time: Micros, target: Instant, deadline: Instant) -> Self {
        let in_time = Self::probability(target.since(start), run_time, start <= target);
        let served = Self::probability(deadline.since(start), run_time, start <= deadline);
        Self { in_time, served: served.max(in_time), run_time }
    }

    /// Returns the latest start at which an answer may still meet `deadline`.
    pub fn latest_start(run_time: Micros, deadline: Instant) -> Instant {
        let shortest = (run_time.get() as f64 * Self::SHORTEST_RUN) as u64;
        Instant::new(deadline.get().saturating_sub(shortest))
    }

    /// Returns the value: 1 for an answer that is certain to be in time, 0 for a refusal. It is the
    /// cost of refusing the call; the amount by which a later start lowers it is the cost of the
    /// delay.
    pub fn total(self) -> f64 {
        self.in_time + Self::LATE_VALUE * (self.served - self.in_time)
    }

    /// Returns the value for each second that the call holds a slot.
    pub fn per_second(self) -> f64 {
        self.total() * 1e6 / self.run_time.get().max(1) as f64
    }

    /// Returns whether the answer can't meet the deadline.
    pub fn is_hopeless(self) -> bool {
        self.served <= 0.0
    }

    /// Returns whether the answer is likely to meet the target.
    pub fn is_likely_in_time(self) -> bool {
        self.in_time >= Self::LIKELY
    }

    /// Returns whether the answer can't meet the target.
    pub fn is_late(self) -> bool {
        self.in_time <= 0.0
    }

    /// Returns whether a retry or hedge with this value is worth its place in another queue.
    pub fn is_worth_attempt(self) -> bool {
        self.total() >= Self::MIN_ATTEMPT_VALUE
    }

    /// Returns the probability that a run ends within `left`.
    fn probability(left: Micros, run_time: Micros, has_time: bool) -> f64 {
        if run_time.get() == 0 {
            return if has_time { 1.0 } else { 0.0 };
        }
        let runs = left.get() as f64 / run_time.get() as f64;
        ((runs - Self::SHORTEST_RUN) / (Self::LONGEST_RUN - Self::SHORTEST_RUN)).clamp(0.0, 1.0)
    }
}
