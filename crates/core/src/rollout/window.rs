//! The windows of wall-clock time in which calls are counted.

use std::fmt;
use std::str::FromStr;

use crate::units::{Millis, ParseUnitError, UnixMillis};

/// A window of [`Window::LENGTH`], numbered from 1970-01-01T00:00:00Z; written `window:7`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window(u64);

impl Window {
    /// The length of every window: 10 s.
    ///
    /// With clocks that differ by 500 ms, at most a twentieth of a window's calls are counted in a
    /// neighbouring window.
    pub const LENGTH: Millis = Millis::new(10_000);

    /// Creates the window with the number `n`, counted from 1970-01-01T00:00:00Z.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the window that contains `at`.
    pub const fn at(at: UnixMillis) -> Self {
        Self(at.get() / Self::LENGTH.get())
    }

    /// Returns the number of the window.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the first millisecond of the window.
    pub const fn start(self) -> UnixMillis {
        UnixMillis::new(self.0.saturating_mul(Self::LENGTH.get()))
    }

    /// Returns the start of the following window.
    pub fn end(self) -> UnixMillis {
        self.start() + Self::LENGTH
    }

    /// Returns the following window.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the number of windows from `earlier` to this one; zero if `earlier` is later.
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
