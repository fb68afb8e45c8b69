//! The exit codes of the process.

use std::process::ExitCode;

/// The result of a run of the tool, which sets the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command was accepted or the query was answered.
    Done,
    /// The request was refused, and nothing was changed.
    Refused,
    /// The options or the command text are wrong; nothing was sent.
    Usage,
    /// It is not known whether the change was or will be accepted.
    Unknown,
    /// No node answered; nothing was changed.
    NoNode,
}

impl Exit {
    /// Returns the exit code that scripts see; the codes are part of the tool's interface.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::NoNode => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
