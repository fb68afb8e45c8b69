//! The slots of a backend server and the times for which calls hold them.

use crate::fleet::{ServiceRate, ServiceTimes};
use crate::ids::RouteName;
use crate::units::{Instant, Micros, Percent};

/// The slots of a backend server and the times for which calls hold them.
#[derive(Debug)]
pub(super) struct ServerSlots {
    /// The number of calls that the server runs at a time.
    pub(super) slots: u32,
    /// The largest number of calls that may run now, hanging ones included.
    pub(super) limit: u32,
    /// The number of calls that were started and not ended, hanging ones included; above `limit`
    /// only after `limit` was lowered.
    pub(super) running: u32,
    /// The usual run times: those of a server that reports its rate are normalised to 100%.
    times: ServiceTimes,
    /// The server's current service time relative to its usual one; `None` if it does not report
    /// it.
    rate: Option<ServiceRate>,
    /// The factor by which run times exceed the usual ones, as of the last decision.
    factor: f64,
}

impl Default for ServerSlots {
    fn default() -> Self {
        Self {
            slots: 0,
            limit: 0,
            running: 0,
            times: ServiceTimes::default(),
            rate: None,
            factor: 1.0,
        }
    }
}

impl ServerSlots {
    pub(super) const fn has_free(&self) -> bool {
        self.running < self.limit
    }

    /// Records the server's current service time relative to its usual one.
    pub(super) fn record_rate(&mut self, now: Instant, service_time: Percent) {
        self.rate = Some(ServiceRate::new(service_time, now));
        self.refresh(now);
    }

    /// Updates the expected run times for decisions at `now`.
    pub(super) fn refresh(&mut self, now: Instant) {
        self.factor = self.rate.map_or(1.0, |rate| rate.factor(now));
    }

    /// Records that a call of `route` ran for `took`.
    pub(super) fn record_time(&mut self, route: &RouteName, took: Micros) {
        self.times.record(route, Micros::new((took.get() as f64 / self.factor) as u64));
    }

    /// Returns the server's current service time relative to its usual one; `None` if it does not
    /// report it.
    pub(super) fn service_time(&self, now: Instant) -> Option<Percent> {
        self.rate.map(|rate| rate.percent(now))
    }

    /// Returns the usual mean run time of a call; `None` before the first one has ended.
    pub(super) fn usual_mean(&self) -> Option<Micros> {
        self.times.mean()
    }

    /// Returns the run time of a call of `route` relative to that of the calls that hold slots, as
    /// [`ServiceTimes::relative_slot_time`] does.
    pub(super) fn relative_slot_time(&self, route: &RouteName) -> Option<f64> {
        self.times.relative_slot_time(route)
    }

    /// Returns the expected mean run time of a call; zero before the first call has ended.
    pub(super) fn mean_run_time(&self) -> Micros {
        self.times.mean().map_or(Micros::new(0), |mean| self.scaled(mean))
    }

    /// Returns the expected run time of a call of `route`; zero before the first call has ended.
    pub(super) fn expected_run_time(&self, route: &RouteName) -> Micros {
        self.scaled(self.times.expected(route).unwrap_or_default())
    }

    /// Returns the expected time until a slot is free after calls with the run time `work` in total
    /// got one.
    pub(super) fn time_until_free(&self, work: Micros) -> Micros {
        Micros::new((self.mean_run_time().get() + work.get()) / u64::from(self.slots.max(1)))
    }

    fn scaled(&self, usual: Micros) -> Micros {
        Micros::new((usual.get() as f64 * self.factor) as u64)
    }
}
