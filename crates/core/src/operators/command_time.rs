//! The time of a command as an operator writes it.

use std::fmt;

use crate::units::{Millis, UnixMillis};

/// The time of a command as an operator writes it: on the wall clock, or from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandTime {
    /// This wall-clock time.
    At(UnixMillis),
    /// This long after the node takes the command.
    In(Millis),
}

/// The units of a span, the longest first, with their length in milliseconds.
const SPAN_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

impl CommandTime {
    /// The wall-clock time, if the command is taken at `now`.
    pub fn resolve(self, now: UnixMillis) -> UnixMillis {
        match self {
            Self::At(time) => time,
            Self::In(span) => now + span,
        }
    }
}

impl fmt::Display for CommandTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::At(time) => time.fmt(f),
            Self::In(span) => {
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
