//! What an operator is told about a rollout.

use std::fmt;
use std::sync::Arc;

use crate::ids::ServiceName;

/// What kind of news a notice brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeKind {
    /// The new version takes all traffic.
    Done,
    /// The shares stay as they are.
    Held,
    /// Evidence is missing or doubtful with a quarter of the time left.
    WillBeLate,
    /// The deadline has passed and the rollout is not complete.
    Late,
    /// The new version was stopped and the old one takes all traffic.
    RolledBack,
}

/// What an operator is told about a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The kind of news.
    pub kind: NoticeKind,
    /// The service.
    pub service: ServiceName,
    /// The reason in one sentence with figures.
    pub reason: Arc<str>,
}

impl fmt::Display for NoticeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Held => "held",
            Self::WillBeLate => "will be late",
            Self::Late => "late",
            Self::RolledBack => "rolled back",
        })
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rollout of {} {}: {}", self.service, self.kind, self.reason)
    }
}
