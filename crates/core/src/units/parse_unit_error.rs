//! The error of parsing a quantity.

use std::fmt;

/// Why a text is not a quantity of the wanted unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUnitError {
    text: String,
    expected: &'static str,
}

impl ParseUnitError {
    /// An error for `text`, which is not `expected`.
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        const MAX_QUOTED_CHARS: usize = 80;
        let text = text.chars().take(MAX_QUOTED_CHARS).collect();
        Self { text, expected }
    }
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: expected {}", self.text, self.expected)
    }
}

impl std::error::Error for ParseUnitError {}
