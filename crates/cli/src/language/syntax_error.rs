//! The error of parsing a text that is not a statement.

use std::fmt;

use crate::language::Expected;

/// The error of parsing a text that is not a statement: where the parser failed, and what it
/// expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    text: String,
    /// Byte offset into `text`, on a character boundary and at most the text's length.
    offset: usize,
    expected: Vec<Expected>,
}

impl SyntaxError {
    /// Creates an error at the byte `offset` of `text`, which must be a character boundary.
    pub(super) fn new(text: &str, offset: usize, expected: Vec<Expected>) -> Self {
        Self { text: text.to_owned(), offset, expected }
    }

    /// Returns the byte offset in the text at which the parser failed.
    pub const fn offset(&self) -> usize {
        self.offset
    }

    /// Returns every alternative that the parser expected at the offset.
    pub fn expected(&self) -> &[Expected] {
        &self.expected
    }

    /// Returns the word at the offset, or `None` at the end of the text.
    pub fn found(&self) -> Option<&str> {
        self.text[self.offset..].split([' ', '\t']).next().filter(|word| !word.is_empty())
    }

    fn write_expected(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected ")?;
        for (i, expected) in self.expected.iter().enumerate() {
            let separator = match i {
                0 => "",
                _ if i + 1 == self.expected.len() => " or ",
                _ => ", ",
            };
            write!(f, "{separator}{expected}")?;
        }
        match self.found() {
            Some(word) => write!(f, "; found {word:?}"),
            None => f.write_str("; the command ends here"),
        }
    }
}

impl fmt::Display for SyntaxError {
    /// Writes the text, a caret under the position of the error, and what was expected there.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A control character would move the caret or change the terminal's state.
        let mask_control = |c: char| if c.is_control() { ' ' } else { c };
        let line: String = self.text.chars().map(mask_control).collect();
        let column = self.text[..self.offset].chars().count();
        writeln!(f, "{}", line.trim_end())?;
        writeln!(f, "{:column$}^", "")?;
        self.write_expected(f)
    }
}

impl std::error::Error for SyntaxError {}
