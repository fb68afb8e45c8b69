//! What a node knows about the first call when a repeat arrives.

/// What a node knows about the first call with an idempotency key when a repeat arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replay<A> {
    /// The recorded answer to the first call.
    Answer(A),
    /// The first call still runs, was interrupted, or had an answer that was not kept.
    InDoubt,
}
