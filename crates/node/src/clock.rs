//! The clocks of the process.

use std::time::{Duration, Instant as StdInstant, SystemTime, UNIX_EPOCH};

use almondsail_core::units::{Instant, Micros, UnixMillis};

/// The clocks of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: StdInstant,
}

impl Clock {
    /// Clocks for a process that starts now.
    pub fn start() -> Self {
        Self { start: StdInstant::now() }
    }

    /// The time since the process started.
    pub fn now(self) -> Instant {
        let micros = self.start.elapsed().as_micros();
        Instant::new(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The wall-clock time; zero if the host's clock is before 1970.
    pub fn wall(self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// `at` as the time of a timer.
    pub(crate) fn timer(self, at: Instant) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.get())).into()
    }
}

/// `span` as the standard library's type.
pub(crate) fn duration(span: impl Into<Micros>) -> Duration {
    Duration::from_micros(span.into().get())
}
