//! The ratio of calls that are served.

use crate::fleet::decaying_sum::DecayingSum;
use crate::units::{Instant, Millis};

/// The ratio of calls that are served, over recent calls.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ServiceRatio {
    served: DecayingSum,
    refused: DecayingSum,
}

impl ServiceRatio {
    /// The time constant with which counted calls decay.
    const COUNTED_TIME: Millis = Millis::new(10_000);
    /// The smallest number of calls for which a ratio is meaningful.
    const MIN_CALLS: f64 = 3.0;

    /// Records that a call got a slot, or was refused.
    pub(super) fn record(&mut self, now: Instant, is_served: bool) {
        let sum = if is_served { &mut self.served } else { &mut self.refused };
        sum.add(now, Self::COUNTED_TIME.into(), 1.0);
    }

    /// Returns the ratio of the calls that were served; `None` if there were few calls.
    pub(super) fn at(&self, now: Instant) -> Option<f64> {
        let calls = self.calls(now);
        let served = self.served.at(now, Self::COUNTED_TIME.into());
        (calls >= Self::MIN_CALLS).then(|| served / calls)
    }

    /// Returns the decayed number of calls.
    pub(super) fn calls(&self, now: Instant) -> f64 {
        let time = Self::COUNTED_TIME.into();
        self.served.at(now, time) + self.refused.at(now, time)
    }
}
