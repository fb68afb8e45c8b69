//! Counts of the ends of calls.

use std::collections::BTreeMap;
use std::fmt;

use super::{CallEnd, CallRequest};

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
    pub repeats: u64,
    /// Answers to another request, or malformed ones.
    pub wrong: u64,
    /// The keys of the calls that were answered.
    pub answered_keys: Vec<String>,
    /// Calls that were not answered, by what the caller learnt.
    pub unanswered: BTreeMap<String, u64>,
    /// Some texts about calls that were not answered.
    pub examples: Vec<String>,
}

impl CallResults {
    /// Counts the end of a call that was sent `sent` times.
    pub fn count(&mut self, request: &CallRequest, end: &CallEnd, sent: usize) {
        self.calls += 1;
        self.repeats += sent.saturating_sub(1) as u64;
        match end {
            CallEnd::Answered(_) => {
                self.answered += 1;
                self.answered_keys.extend(request.key.clone());
            }
            CallEnd::Verdict(verdict, reason) => self.fail(format!("{verdict} {reason}"), ""),
            CallEnd::Wrong(text) => {
                self.wrong += 1;
                self.fail("wrong answer".to_owned(), text);
            }
            CallEnd::NotConnected(text) => self.fail("not connected".to_owned(), text),
            CallEnd::Broken(text) => self.fail("broken".to_owned(), text),
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.repeats += other.repeats;
        self.wrong += other.wrong;
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

    fn fail(&mut self, kind: String, example: &str) {
        *self.unanswered.entry(kind).or_default() += 1;
        if self.examples.len() < MAX_EXAMPLES && !example.is_empty() {
            self.examples.push(example.to_owned());
        }
    }
}

impl fmt::Display for CallResults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calls, answered, repeats, unanswered, examples, .. } = self;
        write!(f, "{calls} calls, {answered} answered, sent again {repeats} times")?;
        if self.lost() > 0 {
            write!(f, ", not answered {unanswered:?} {examples:?}")?;
        }
        Ok(())
    }
}
