//! Counts of calls by their outcome.

use std::collections::BTreeMap;
use std::fmt;

use super::{CallOutcome, CallRequest};

/// The largest number of example texts kept.
const MAX_EXAMPLES: usize = 5;

/// Counts of calls by their outcome.
#[derive(Debug, Clone, Default)]
pub struct CallResults {
    /// Number of calls that ended.
    pub calls: u64,
    /// Number of calls for which the complete, correct answer was received.
    pub answered: u64,
    /// Number of times that a call was sent again.
    pub retries: u64,
    /// Number of answers that were malformed or belonged to another request.
    pub wrong_answers: u64,
    /// The idempotency keys of the answered calls that have one.
    pub answered_keys: Vec<String>,
    /// Number of calls without a correct answer, by kind of failure.
    pub unanswered: BTreeMap<String, u64>,
    /// The error texts of some calls without a correct answer.
    pub examples: Vec<String>,
}

impl CallResults {
    /// Counts the outcome of a call that was sent `sent` times.
    pub fn count(&mut self, request: &CallRequest, outcome: &CallOutcome, sent: usize) {
        self.calls += 1;
        self.retries += sent.saturating_sub(1) as u64;
        match outcome {
            CallOutcome::Answered(_) => {
                self.answered += 1;
                self.answered_keys.extend(request.key.clone());
            }
            CallOutcome::Verdict(verdict, reason) => {
                self.count_unanswered(format!("{verdict} {reason}"), "")
            }
            CallOutcome::WrongAnswer(text) => {
                self.wrong_answers += 1;
                self.count_unanswered("wrong answer".to_owned(), text);
            }
            CallOutcome::NotConnected(text) => {
                self.count_unanswered("not connected".to_owned(), text)
            }
            CallOutcome::Broken(text) => self.count_unanswered("broken".to_owned(), text),
        }
    }

    /// Adds the counts of `other` to these.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.retries += other.retries;
        self.wrong_answers += other.wrong_answers;
        self.answered_keys.extend(other.answered_keys);
        for (kind, number) in other.unanswered {
            *self.unanswered.entry(kind).or_default() += number;
        }
        self.examples.extend(other.examples);
        self.examples.truncate(MAX_EXAMPLES);
    }

    /// Returns the number of calls without a correct answer.
    pub fn lost(&self) -> u64 {
        self.calls - self.answered
    }

    fn count_unanswered(&mut self, kind: String, example: &str) {
        *self.unanswered.entry(kind).or_default() += 1;
        if self.examples.len() < MAX_EXAMPLES && !example.is_empty() {
            self.examples.push(example.to_owned());
        }
    }
}

impl fmt::Display for CallResults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calls, answered, retries, unanswered, examples, .. } = self;
        write!(f, "{calls} calls, {answered} answered, sent again {retries} times")?;
        if self.lost() > 0 {
            write!(f, ", not answered {unanswered:?} {examples:?}")?;
        }
        Ok(())
    }
}
