//! How many lines of each class a node writes in a second.

use crate::units::{Instant, Micros};

/// The kinds of lines that are limited apart from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogClass {
    /// Start, stop and reload. Not limited.
    Lifecycle,
    /// A change of what the node believes.
    Change,
    /// Input that can't be read.
    BadInput,
    /// A call without an answer.
    Failure,
    /// A call that was answered.
    Answer,
}

impl LogClass {
    /// Every class.
    pub const ALL: [Self; 5] =
        [Self::Lifecycle, Self::Change, Self::BadInput, Self::Failure, Self::Answer];

    /// The class in counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lifecycle => "lifecycle",
            Self::Change => "change",
            Self::BadInput => "bad_input",
            Self::Failure => "failure",
            Self::Answer => "answer",
        }
    }

    /// Lines in one second; further ones are only counted.
    const fn most(self) -> u32 {
        match self {
            Self::Lifecycle => u32::MAX,
            Self::Change => 200,
            Self::BadInput => 20,
            Self::Failure => 100,
            Self::Answer => 5,
        }
    }
}

/// How many lines of each class a node still writes in the present second, so that the log
/// stays bounded under load while failures stay whole up to a stated rate.
///
/// ```
/// use almondsail_core::fleet::{LogBudget, LogClass};
/// use almondsail_core::units::Instant;
///
/// let mut budget = LogBudget::default();
/// let lines = (0..50).filter(|_| budget.take(Instant::new(0), LogClass::Answer)).count();
/// assert_eq!(lines, 5);
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct LogBudget {
    second: u64,
    /// The lines of the present second, by class.
    lines: [u32; LogClass::ALL.len()],
}

impl LogBudget {
    /// Takes a line of `class` at `now`; false if it is not to be written.
    pub fn take(&mut self, now: Instant, class: LogClass) -> bool {
        let second = now.since(Instant::new(0)).get() / SECOND.get();
        if second != self.second {
            *self = Self { second, ..Self::default() };
        }
        let lines = &mut self.lines[class as usize];
        *lines = lines.saturating_add(1);
        *lines <= class.most()
    }
}

const SECOND: Micros = Micros::new(1_000_000);
