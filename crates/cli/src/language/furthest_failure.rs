//! The furthest place that the parser reached.

use crate::language::Expected;

/// The furthest place at which alternatives failed, and what each of them expected there.
///
/// The parser keeps it across backtracking: the alternative that came furthest
/// is the one that the operator most likely meant.
#[derive(Debug, Clone)]
pub(super) struct FurthestFailure {
    /// Number of bytes that were left there.
    pub(super) remaining: usize,
    /// What was expected, without repetitions.
    pub(super) expected: Vec<Expected>,
}

impl FurthestFailure {
    /// The start of a text of `len` bytes.
    pub(super) const fn start(len: usize) -> Self {
        Self { remaining: len, expected: Vec::new() }
    }

    /// Notes that `expected` did not stand where `remaining` bytes are left.
    pub(super) fn record(&mut self, remaining: usize, expected: Expected) {
        if remaining > self.remaining {
            return;
        }
        if remaining < self.remaining {
            self.remaining = remaining;
            self.expected.clear();
        }
        if !self.expected.contains(&expected) {
            self.expected.push(expected);
        }
    }
}
