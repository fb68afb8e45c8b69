//! The current service time of a backend server relative to its usual one.

use crate::units::{Instant, Micros, Millis, Percent};

/// The current service time of a backend server relative to its usual one, as last reported.
///
/// A report says less about the present the older it is: the relative service time decays to 100%.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceRate {
    reported: Percent,
    reported_at: Instant,
}

impl ServiceRate {
    /// The time in which the distance to 100% halves without a new report.
    pub const HALF_LIFE: Millis = Millis::new(300);

    /// Creates the rate that a server reported at `reported_at`.
    pub const fn new(reported: Percent, reported_at: Instant) -> Self {
        Self { reported, reported_at }
    }

    /// Returns the factor by which service times at `now` are expected to exceed the usual ones.
    pub fn factor(&self, now: Instant) -> f64 {
        let age = now.since(self.reported_at).get() as f64;
        let halvings = age / Micros::from(Self::HALF_LIFE).get() as f64;
        1.0 + (self.reported.factor() - 1.0) * (-halvings).exp2()
    }

    /// Returns the relative service time expected at `now`.
    pub fn percent(&self, now: Instant) -> Percent {
        Percent::new((self.factor(now) * 100.0).round() as u32)
    }

    /// Returns when the server reported the rate.
    pub const fn reported_at(&self) -> Instant {
        self.reported_at
    }
}
