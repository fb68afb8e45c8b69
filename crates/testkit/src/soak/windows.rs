//! Times in which something lasted.

use std::time::Duration;

/// Times in which something lasted, since the start of a run and in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Windows(Vec<(Duration, Option<Duration>)>);

impl Windows {
    /// Begins a window at `at`, unless one is open.
    pub fn begin(&mut self, at: Duration) {
        if !self.is_open() {
            self.0.push((at, None));
        }
    }

    /// Ends the open window at `at`, if there is one.
    pub fn end(&mut self, at: Duration) {
        if let Some((_, end @ None)) = self.0.last_mut() {
            *end = Some(at);
        }
    }

    /// Returns whether a window is open.
    pub fn is_open(&self) -> bool {
        matches!(self.0.last(), Some((_, None)))
    }

    /// Returns whether a window, lengthened by `after` at its end, overlaps `from` to `to`.
    pub fn overlap(&self, from: Duration, to: Duration, after: Duration) -> bool {
        let overlaps = |(begin, end): &(Duration, Option<Duration>)| {
            *begin <= to && end.is_none_or(|end| end + after >= from)
        };
        self.0.iter().any(overlaps)
    }

    /// Returns the end of the last window that began by `at`: `at` if it lasts then, and `None`
    /// without such a window.
    pub fn last_end(&self, at: Duration) -> Option<Duration> {
        let begun = self.0.iter().filter(|(begin, _)| *begin <= at);
        begun.map(|(_, end)| end.unwrap_or(at).min(at)).max()
    }

    /// Returns the beginning of the last window that began by `at`.
    pub fn last_begin(&self, at: Duration) -> Option<Duration> {
        self.0.iter().map(|(begin, _)| *begin).filter(|begin| *begin <= at).max()
    }
}
