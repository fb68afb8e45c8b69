//! An invalid value in a settings file.

use std::fmt;

/// An invalid, missing or unknown field of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// Path of the field in the file, such as `listen.callers`.
    pub path: String,
    /// Message that says what is wrong and which values are allowed.
    pub problem: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}
