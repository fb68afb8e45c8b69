//! The furthest position at which the parser failed.

use crate::language::Expected;

/// The furthest position at which alternatives failed, and what each of them expected there.
///
/// The parser keeps it across backtracking, because the alternative that got furthest is the one
/// that the operator most likely meant.
#[derive(Debug, Clone)]
pub(super) struct FurthestFailure {
    /// Number of input bytes left at the furthest position.
    pub(super) remaining: usize,
    /// Alternatives expected at the furthest position, without duplicates.
    pub(super) expected: Vec<Expected>,
}

impl FurthestFailure {
    /// Returns the state before parsing a text of `len` bytes, with no failure recorded.
    pub(super) const fn start(len: usize) -> Self {
        Self { remaining: len, expected: Vec::new() }
    }

    /// Records that `expected` was not found where `remaining` bytes are left. Ignores positions
    /// before the furthest one.
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
