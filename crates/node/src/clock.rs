//! The clocks of the process.

use std::time::{Instant as StdInstant, SystemTime, UNIX_EPOCH};

use almondsail_core::units::{Instant, UnixMillis};

/// The clocks of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: StdInstant,
}

impl Clock {
    /// Clocks for a process that starts now.
    pub fn start() -> Self {
        Self { started: StdInstant::now() }
    }

    /// The time since the process started.
    pub fn now(&self) -> Instant {
        let micros = self.started.elapsed().as_micros();
        Instant::new(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The wall-clock time; zero if the host's clock is before 1970.
    pub fn wall(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
