//! The error of parsing an identifier.

use std::fmt;

/// Why a text is not an identifier of the wanted kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseIdError {
    /// An error for `text`, which is no `kind` because it is not `expected`.
    pub(crate) fn new(kind: &'static str, text: &str, expected: &'static str) -> Self {
        // A rejected text can be of any length; the message quotes a bounded part.
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
