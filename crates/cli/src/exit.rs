//! The exit codes of the tool.

use std::process::ExitCode;

/// How the tool ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Accepted or answered.
    Done,
    /// Refused; nothing was changed.
    Refused,
    /// The options or the command text are wrong; nothing was sent.
    Usage,
    /// It is not known whether the change was or will be accepted.
    Unknown,
    /// No node answered; nothing was changed.
    NoNode,
}

impl Exit {
    /// The exit code.
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
