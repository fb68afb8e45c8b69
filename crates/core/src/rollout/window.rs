//! A short window of wall-clock time.

use std::fmt;
use std::str::FromStr;

use crate::units::{Millis, ParseUnitError, UnixMillis};

/// A window of [`Window::LENGTH`], numbered from 1970-01-01T00:00:00Z; written `window:7`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window(u64);

impl Window {
    /// The length of a window.
    ///
    /// Clocks that differ by 500 ms put at most a twentieth of a window's calls in a neighbour.
    pub const LENGTH: Millis = Millis::new(10_000);

    /// The window with this number.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// The window that contains `at`.
    pub const fn at(at: UnixMillis) -> Self {
        Self(at.get() / Self::LENGTH.get())
    }

    /// The window's number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// When the window begins.
    pub const fn start(self) -> UnixMillis {
        UnixMillis::new(self.0.saturating_mul(Self::LENGTH.get()))
    }

    /// When the window ends.
    pub fn end(self) -> UnixMillis {
        self.start() + Self::LENGTH
    }

    /// The window that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The number of windows from `earlier` to this one, zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "window:{}", self.0)
    }
}

impl FromStr for Window {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix("window:")
            .and_then(|n| n.parse().ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::new(s, "a window such as window:7"))
    }
}
