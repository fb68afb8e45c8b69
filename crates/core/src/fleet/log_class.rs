//! Classes of log lines with separate rate limits.

/// A class of log lines with its own rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogClass {
    /// Start, stop and reload of the node. Not limited.
    Lifecycle,
    /// A change of the node's state.
    Change,
    /// Input from outside the node that can't be read.
    BadInput,
    /// A call that got no answer.
    Failure,
    /// A call that was answered.
    Answer,
}

impl LogClass {
    /// Every class, in the order of the variants.
    pub const ALL: [Self; 5] =
        [Self::Lifecycle, Self::Change, Self::BadInput, Self::Failure, Self::Answer];

    /// Returns the name of the class in counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lifecycle => "lifecycle",
            Self::Change => "change",
            Self::BadInput => "bad_input",
            Self::Failure => "failure",
            Self::Answer => "answer",
        }
    }

    /// Returns the largest number of lines written per second; further ones are only counted.
    pub(super) const fn max_lines_per_second(self) -> u32 {
        match self {
            Self::Lifecycle => u32::MAX,
            Self::Change => 200,
            Self::BadInput => 20,
            Self::Failure => 100,
            Self::Answer => 5,
        }
    }
}
