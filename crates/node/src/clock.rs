//! The time on the path of a call.

use almondsail_core::units::{Instant, Micros};

/// Measures the time since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { start: std::time::Instant::now() }
    }

    /// The time now.
    pub(crate) fn now(self) -> Instant {
        Instant::new(self.start.elapsed().as_micros() as u64)
    }

    /// `at` as the time of a timer.
    pub(crate) fn timer(self, at: Instant) -> tokio::time::Instant {
        (self.start + std::time::Duration::from_micros(at.get())).into()
    }
}

/// `span` as the standard library's type.
pub(crate) fn duration(span: impl Into<Micros>) -> std::time::Duration {
    std::time::Duration::from_micros(span.into().get())
}
