//! The error of a text that is not a statement.

use std::fmt;

use crate::language::Expected;

/// A text that is not a statement: the place of the mistake, and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    text: String,
    /// At most the text's length; a character starts here.
    offset: usize,
    expected: Vec<Expected>,
}

impl SyntaxError {
    /// An error at the byte `offset` of `text`.
    pub(super) fn new(text: &str, offset: usize, expected: Vec<Expected>) -> Self {
        Self { text: text.to_owned(), offset, expected }
    }

    /// The byte offset of the mistake.
    pub const fn offset(&self) -> usize {
        self.offset
    }

    /// What was expected there; each alternative is listed.
    pub fn expected(&self) -> &[Expected] {
        &self.expected
    }

    /// The word that stands there; `None` at the end of the text.
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
    /// Writes the text, a caret under the mistake, and what was expected there.
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
