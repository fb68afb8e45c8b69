//! The kinds of log lines that are limited apart.

/// The kinds of lines that are limited apart from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogClass {
    /// Start, stop and reload. Not limited.
    Lifecycle,
    /// A change of the node's state.
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
