//! A mistake in a settings file.

use std::fmt;

/// A mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// The path of the field, such as `listen.callers`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}
