//! What is known about a repeated call.

/// What a node knows about a repeated call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replay<A> {
    /// The first call's answer.
    Answer(A),
    /// The first call still runs, broke off, or had an answer that was not kept.
    InDoubt,
}
