//! Counts of the ends of calls.

use std::collections::BTreeMap;
use std::fmt;

use super::{CallOutcome, CallRequest};

/// Number of texts kept for each kind of end.
const MAX_EXAMPLES: usize = 5;

/// Counts of the ends of calls.
#[derive(Debug, Clone, Default)]
pub struct CallResults {
    /// Calls that ended.
    pub calls: u64,
    /// Calls whose own, complete answer came.
    pub answered: u64,
    /// Times that a call was sent again.
    pub retries: u64,
    /// Answers to another request, or malformed ones.
    pub wrong_answers: u64,
    /// The keys of the calls that were answered.
    pub answered_keys: Vec<String>,
    /// Calls that were not answered, by what the caller learnt.
    pub unanswered: BTreeMap<String, u64>,
    /// Some texts about calls that were not answered.
    pub examples: Vec<String>,
}

impl CallResults {
    /// Counts the end of a call that was sent `sent` times.
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

    /// Adds the counts of `other`.
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

    /// Calls whose own answer did not come.
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
