//! The slots of a backend server and the times for which calls hold them.

use crate::fleet::ServiceTimes;
use crate::ids::RouteName;
use crate::units::Micros;

/// The slots of a backend server and the times for which calls hold them.
#[derive(Debug, Default)]
pub(super) struct ServerSlots {
    /// The number of calls that the server runs at a time.
    pub(super) slots: u32,
    /// The number of calls that run; above `slots` only after `slots` was lowered.
    pub(super) running: u32,
    pub(super) times: ServiceTimes,
}

impl ServerSlots {
    pub(super) const fn has_free(&self) -> bool {
        self.running < self.slots
    }

    /// Returns the expected run time of a call of `route`; zero before the first call has ended.
    pub(super) fn expected_run_time(&self, route: &RouteName) -> Micros {
        self.times.expected(route).unwrap_or_default()
    }

    /// Returns the expected time until a slot is free after calls with the run time `work` in total
    /// got one.
    pub(super) fn time_until_free(&self, work: Micros) -> Micros {
        let mean_run_time = self.times.mean().map_or(0, Micros::get);
        Micros::new((mean_run_time + work.get()) / u64::from(self.slots.max(1)))
    }
}
