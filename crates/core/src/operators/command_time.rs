//! An absolute or relative time in a command.

use std::fmt;

use crate::units::{Millis, UnixMillis};

/// A time in a command: absolute, or relative to the command's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandTime {
    /// An absolute wall-clock time.
    Absolute(UnixMillis),
    /// A time span after the node receives the command.
    Relative(Millis),
}

/// The units of a relative time, longest first, with their length in milliseconds.
const SPAN_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

impl CommandTime {
    /// Returns the absolute time for a command that the node receives at `now`.
    pub fn resolve(self, now: UnixMillis) -> UnixMillis {
        match self {
            Self::Absolute(time) => time,
            Self::Relative(span) => now + span,
        }
    }
}

impl fmt::Display for CommandTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absolute(time) => time.fmt(f),
            Self::Relative(span) => {
                let ms = span.get();
                let (unit, len) = SPAN_UNITS
                    .into_iter()
                    .find(|(_, len)| ms >= *len && ms.is_multiple_of(*len))
                    .unwrap_or(("ms", 1));
                write!(f, "in {}{unit}", ms / len)
            }
        }
    }
}
