//! Error of a message field with an invalid value.

use std::fmt;

/// Describes a message field whose value is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    path: String,
    problem: String,
}

impl FieldError {
    /// Creates an error for the field at `path`.
    pub fn new(path: impl Into<String>, problem: impl fmt::Display) -> Self {
        Self { path: path.into(), problem: problem.to_string() }
    }

    /// Prefixes the path with the enclosing field `outer`.
    #[must_use]
    pub fn within(self, outer: impl fmt::Display) -> Self {
        Self { path: format!("{outer}.{}", self.path), problem: self.problem }
    }

    /// Returns the path of the field, such as `content.routes[2].prefix`.
    pub fn path(&self) -> &str {
        &self.path
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for FieldError {}
