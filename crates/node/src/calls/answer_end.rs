//! How the body of an answer ended.

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// Every byte was passed on.
    Complete,
    /// The exchange broke or the answer is malformed.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The caller gave up.
    Dropped,
}
