//! The load that a backend server reports with a response.

use crate::units::Percent;

/// The load that a backend server reports with a response, as of the moment when it wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of calls that the server runs.
    pub running: u32,
    /// The number of calls that wait at the server for a slot.
    pub waiting: u32,
    /// The number of calls that the server can run at a time; at least 1.
    pub slots: u32,
    /// The current service time on the server's host relative to the usual one, from
    /// [`Self::MIN_SERVICE_TIME`] to [`Self::MAX_SERVICE_TIME`]; `None` if the server does not
    /// report it.
    pub service_time: Option<Percent>,
}

impl ServerLoad {
    /// The largest number of calls, and of slots, that a server may report.
    pub const MAX_CALLS: u32 = 65_535;
    /// The shortest relative service time that a server may report.
    pub const MIN_SERVICE_TIME: Percent = Percent::new(10);
    /// The longest relative service time that a server may report.
    pub const MAX_SERVICE_TIME: Percent = Percent::new(10_000);

    /// Returns the number of calls that the server runs or that wait there.
    pub const fn calls(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns whether `service_time` is within its limits.
    pub fn is_plausible_service_time(service_time: &Percent) -> bool {
        (Self::MIN_SERVICE_TIME..=Self::MAX_SERVICE_TIME).contains(service_time)
    }

    /// Returns whether all figures are within their limits.
    pub fn is_plausible(&self) -> bool {
        (1..=Self::MAX_CALLS).contains(&self.slots)
            && self.running <= Self::MAX_CALLS
            && self.waiting <= Self::MAX_CALLS
            && self.service_time.is_none_or(|time| Self::is_plausible_service_time(&time))
    }
}
