//! The error of parsing a quantity.

use std::fmt;

/// The error of parsing a text that is not a valid quantity of the expected unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUnitError {
    text: String,
    expected: &'static str,
}

impl ParseUnitError {
    /// Creates an error for `text`, which lacks the `expected` form.
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        // Bounds the message, since a rejected text can have any length.
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
