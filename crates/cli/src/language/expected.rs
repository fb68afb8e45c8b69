//! An alternative that the parser expected at a syntax error.

use std::fmt;

/// An alternative that the parser expected at the position of a syntax error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// A keyword of the language, as it is written.
    Word(&'static str),
    /// A value, given by a description with its article, such as `a service name`.
    Value(&'static str),
    /// The end of the statement's text.
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
