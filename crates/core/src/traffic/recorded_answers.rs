//! The answers that a node keeps for repeated calls.

use std::collections::{HashMap, VecDeque};

use crate::ids::CallKey;
use crate::traffic::{KeyClaims, Replay};
use crate::units::{ByteCount, Instant, Micros};

/// The recorded answers to calls with an idempotency key that ran at this node.
///
/// `A` is the representation of an answer, which this type does not interpret.
#[derive(Debug)]
pub struct RecordedAnswers<A> {
    answers: HashMap<CallKey, (Instant, ByteCount, A)>,
    /// The keys of `answers`, oldest first.
    order: VecDeque<CallKey>,
    /// The sum of the sizes of `answers` in bytes; at most [`Self::MAX_TOTAL`].
    total: u64,
}

impl<A: Clone> RecordedAnswers<A> {
    /// The largest size of an answer that is recorded.
    pub const MAX_ANSWER: ByteCount = ByteCount::new(16 * 1024);
    /// The largest total size of recorded answers; the oldest are dropped first.
    pub const MAX_TOTAL: ByteCount = ByteCount::new(4 * 1024 * 1024);

    /// Creates a record without answers.
    pub fn new() -> Self {
        Self { answers: HashMap::new(), order: VecDeque::new(), total: 0 }
    }

    /// Records the complete answer to the call with `key`, unless it is larger than
    /// [`Self::MAX_ANSWER`] or one is already recorded.
    pub fn record(&mut self, now: Instant, key: CallKey, size: ByteCount, answer: A) {
        self.expire(now);
        if size > Self::MAX_ANSWER || self.answers.contains_key(&key) {
            return;
        }
        while self.total + size.get() > Self::MAX_TOTAL.get() && self.drop_oldest() {}
        self.total += size.get();
        self.order.push_back(key.clone());
        self.answers.insert(key, (now, size, answer));
    }

    /// Returns what is known about the call with `key`, for a repeat of it.
    pub fn replay(&mut self, now: Instant, key: &CallKey) -> Replay<A> {
        self.expire(now);
        self.answers
            .get(key)
            .map_or(Replay::InDoubt, |(_, _, answer)| Replay::Answer(answer.clone()))
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.since(at) > Micros::from(KeyClaims::RETENTION);
        while let Some(key) = self.order.front()
            && self.answers.get(key).is_none_or(|(at, _, _)| is_old(*at))
        {
            self.drop_oldest();
        }
    }

    /// Drops the oldest answer and returns whether there was one.
    fn drop_oldest(&mut self) -> bool {
        let Some(key) = self.order.pop_front() else { return false };
        if let Some((_, size, _)) = self.answers.remove(&key) {
            self.total -= size.get();
        }
        true
    }
}

impl<A: Clone> Default for RecordedAnswers<A> {
    fn default() -> Self {
        Self::new()
    }
}
