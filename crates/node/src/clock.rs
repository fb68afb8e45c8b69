//! The monotonic clock and the wall clock of the process.

use std::time::{Duration, Instant as StdInstant, SystemTime, UNIX_EPOCH};

use almondsail_core::units::{Instant, Micros, UnixMillis};
use rustix::time::{ClockId, clock_gettime};

/// The monotonic clock, which starts at zero, and the wall clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: StdInstant,
}

impl Clock {
    /// Creates a clock whose monotonic time is zero now.
    pub fn start() -> Self {
        Self { start: StdInstant::now() }
    }

    /// Returns the monotonic time since [`Clock::start`], in microseconds.
    pub fn now(self) -> Instant {
        let micros = self.start.elapsed().as_micros();
        Instant::new(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the time since the host's start, in microseconds, including the time for which the
    /// host was suspended. Not comparable with [`Self::now`].
    pub fn now_with_suspended(self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let span = Duration::try_from(time).unwrap_or_default();
        Instant::new(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time, or zero if the host's clock is before 1970.
    pub fn wall(self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Converts `at` to the instant at which a tokio timer fires.
    pub(crate) fn to_tokio_instant(self, at: Instant) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.get())).into()
    }
}

/// Converts `span` from the standard library's type.
pub(crate) fn to_micros(span: Duration) -> Micros {
    Micros::new(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}

/// Converts `span` to the standard library's type.
pub(crate) fn to_std_duration(span: impl Into<Micros>) -> Duration {
    Duration::from_micros(span.into().get())
}
