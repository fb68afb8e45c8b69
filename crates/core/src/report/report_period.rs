//! The time that a report covers.

use crate::ids::DataCentre;
use crate::report::{Hour, HourKey, MINUTE_WRITE_DELAY, Minute};
use crate::units::{Millis, UnixMillis};

/// Maximum number of hours that a report covers: 31 days.
pub const MAX_REPORT_HOURS: u64 = 31 * 24;
/// Time allowed for a minute's sums to reach the store after they are due.
const STORE_WRITE_ALLOWANCE: Millis = Millis::new(10_000);

/// The time that a report covers: from the start of an hour to the last minute
/// whose sums should be in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportPeriod {
    /// The first hour of the period.
    pub from: Hour,
    /// The first minute after the period; never before the start of `from`.
    pub to: Minute,
}

impl ReportPeriod {
    /// Returns the period of a report that begins with the hour of `since` and is requested at
    /// `wall`. It covers at most the last [`MAX_REPORT_HOURS`].
    pub fn new(since: UnixMillis, wall: UnixMillis) -> Self {
        let lag = MINUTE_WRITE_DELAY.get() + STORE_WRITE_ALLOWANCE.get();
        let to = Minute::at(UnixMillis::new(wall.get().saturating_sub(lag)));
        let earliest = Hour::new(Hour::of(to).get().saturating_sub(MAX_REPORT_HOURS - 1));
        let from = Hour::at(since).clamp(earliest, Hour::of(to));
        Self { from, to }
    }

    /// Returns the wall-clock time at which the period begins.
    pub const fn start(self) -> UnixMillis {
        self.from.first().start()
    }

    /// Returns the hours of the period, including the one that has not ended.
    pub fn hours(self) -> impl Iterator<Item = Hour> {
        (self.from.get()..=Hour::of(self.to).get()).map(Hour::new)
    }

    /// Returns the store keys of every hour of the period in each of `data_centres`.
    pub fn keys<'a>(self, data_centres: impl Iterator<Item = &'a DataCentre>) -> Vec<HourKey> {
        let of_one = |data_centre: &'a DataCentre| {
            self.hours().map(|hour| HourKey { data_centre: data_centre.clone(), hour })
        };
        data_centres.flat_map(of_one).collect()
    }
}
