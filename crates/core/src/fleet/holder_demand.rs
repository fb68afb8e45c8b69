//! The work that the calls of one team offer to a server.

use crate::fleet::decaying_sum::DecayingSum;
use crate::units::{Instant, Micros, Millis};

/// The work that the calls of one team, or of all of them, offer to a server.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct HolderDemand {
    recent: DecayingSum,
    usual: DecayingSum,
    started: DecayingSum,
}

impl HolderDemand {
    /// The time constant with which recent work decays.
    pub(super) const RECENT_TIME: Millis = Millis::new(2_000);
    /// The time constant with which usual work decays.
    pub(super) const USUAL_TIME: Millis = Millis::new(60_000);

    /// Records a call with the run time `work`, which counts by `usual_weight` towards the usual
    /// work.
    pub(super) fn record_arrival(&mut self, now: Instant, work: Micros, usual_weight: f64) {
        let work = work.get() as f64;
        self.recent.add(now, Self::RECENT_TIME.into(), work);
        self.usual.add(now, Self::USUAL_TIME.into(), work * usual_weight);
    }

    /// Records that a call with the run time `work` got a slot.
    pub(super) fn record_start(&mut self, now: Instant, work: Micros) {
        self.started.add(now, Self::RECENT_TIME.into(), work.get() as f64);
    }

    /// Returns the work of the calls that arrived lately, in microseconds.
    pub(super) fn recent(&self, now: Instant) -> f64 {
        self.recent.at(now, Self::RECENT_TIME.into())
    }

    /// Returns the work of the calls that got a slot lately, in microseconds.
    pub(super) fn started(&self, now: Instant) -> f64 {
        self.started.at(now, Self::RECENT_TIME.into())
    }

    /// Returns the work of the calls that arrived over a longer time, in microseconds.
    pub(super) fn usual(&self, now: Instant) -> f64 {
        self.usual.at(now, Self::USUAL_TIME.into())
    }
}
