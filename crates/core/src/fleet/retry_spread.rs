//! Spreads the retries of refused calls.

use crate::fleet::decaying_sum::DecayingSum;
use crate::units::{Instant, Micros, Millis};

/// Spreads the retries of refused calls over the time in which a server can run them.
#[derive(Debug, Default)]
pub(super) struct RetrySpread {
    /// The work of the calls that were refused lately, in microseconds.
    refused: DecayingSum,
    /// The place of the next refusal in the spread, from 0 to 1.
    place: f64,
}

impl RetrySpread {
    /// The time constant with which refused work decays.
    const COUNTED_TIME: Millis = Millis::new(2_000);
    /// The longest time over which refused calls are spread.
    const MAX_SPREAD: Millis = Millis::new(5_000);
    /// The fractional parts of the multiples of this number are evenly spread, however many there
    /// are.
    const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

    /// Returns the time after which a refused call with the run time `work` should be retried at a
    /// server with `slots`, all of whose waiting calls will have slots after `drain_time`.
    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        slots: u32,
        drain_time: Micros,
        work: Micros,
    ) -> Micros {
        self.refused.add(now, Self::COUNTED_TIME.into(), work.get() as f64);
        self.place = (self.place + Self::GOLDEN_RATIO_FRACTION).fract();
        let refused = self.refused.at(now, Self::COUNTED_TIME.into());
        let spread =
            (refused / f64::from(slots.max(1))).min(Micros::from(Self::MAX_SPREAD).get() as f64);
        Micros::new(drain_time.get().saturating_add((spread * self.place) as u64))
    }
}
