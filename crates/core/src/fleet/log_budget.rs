//! Limits the log lines that a node writes per second.

use crate::fleet::LogClass;
use crate::units::{Instant, Micros};

/// Limits the log lines of each class that a node writes per second, so that the log stays bounded
/// under load while failures are logged completely up to a known rate.
///
/// ```
/// use almondsail_core::fleet::{LogBudget, LogClass};
/// use almondsail_core::units::Instant;
///
/// let mut budget = LogBudget::default();
/// let lines = (0..50).filter(|_| budget.try_acquire(Instant::new(0), LogClass::Answer)).count();
/// assert_eq!(lines, 5);
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct LogBudget {
    second: u64,
    /// The lines of the current second, by class.
    lines: [u32; LogClass::ALL.len()],
}

impl LogBudget {
    /// Counts a line of `class` at `now`. Returns false if it must not be written.
    pub fn try_acquire(&mut self, now: Instant, class: LogClass) -> bool {
        let second = now.since(Instant::new(0)).get() / ONE_SECOND.get();
        if second != self.second {
            *self = Self { second, ..Self::default() };
        }
        let lines = &mut self.lines[class as usize];
        *lines = lines.saturating_add(1);
        *lines <= class.max_lines_per_second()
    }
}

const ONE_SECOND: Micros = Micros::new(1_000_000);
