//! Notices to operators about a rollout.

use std::fmt;
use std::sync::Arc;

use crate::ids::ServiceName;

/// The event or condition of a rollout that a notice reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeKind {
    /// The rollout is complete: the new version takes all traffic.
    Done,
    /// The shares stay as they are, by an operator's order or because of the evidence.
    Held,
    /// Three quarters of the time have passed and the evidence doesn't yet allow the last step.
    WillBeLate,
    /// The deadline has passed before the rollout was complete.
    Late,
    /// The new version was stopped and the old one takes all traffic.
    RolledBack,
}

/// A notice to the operators about a service's rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The event or condition that the notice reports.
    pub kind: NoticeKind,
    /// The service that is rolled out.
    pub service: ServiceName,
    /// The reason in one sentence with figures, for operators to read.
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
