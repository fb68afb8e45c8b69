//! The error of parsing an identifier.

use std::fmt;

/// The error of parsing a text that is not a valid identifier of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseIdError {
    /// Creates an error for `text`, which is not a `kind` because it lacks the `expected` form.
    pub(crate) fn new(kind: &'static str, text: &str, expected: &'static str) -> Self {
        // Bounds the message, since a rejected text can have any length.
        const MAX_QUOTED_CHARS: usize = 80;
        let text = text.chars().take(MAX_QUOTED_CHARS).collect();
        Self { kind, text, expected }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a {}: expected {}", self.text, self.kind, self.expected)
    }
}

impl std::error::Error for ParseIdError {}
