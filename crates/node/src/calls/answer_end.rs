//! Ways in which the body of an answer ends.

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// Every byte was passed on to the caller.
    Complete,
    /// The connection to the next hop broke, or the answer is malformed.
    Broken,
    /// The call's deadline passed before the end.
    TimedOut,
    /// The body was dropped before its end, as when the caller disconnects.
    Dropped,
}
