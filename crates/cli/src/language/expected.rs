//! What a parser expected.

use std::fmt;

/// What the parser expected at a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// This word.
    Word(&'static str),
    /// A value, described for people.
    Value(&'static str),
    /// The end of the text.
    End,
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(word) => write!(f, "`{word}`"),
            Self::Value(description) => f.write_str(description),
            Self::End => f.write_str("the end of the command"),
        }
    }
}
