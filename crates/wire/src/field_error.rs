//! The error of a field with a bad value.

use std::fmt;

/// A field of a message whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    path: String,
    problem: String,
}

impl FieldError {
    /// An error of the field at `path`.
    pub fn new(path: impl Into<String>, problem: impl fmt::Display) -> Self {
        Self { path: path.into(), problem: problem.to_string() }
    }

    /// The same error, of a field inside the field `outer`.
    #[must_use]
    pub fn within(self, outer: impl fmt::Display) -> Self {
        Self { path: format!("{outer}.{}", self.path), problem: self.problem }
    }

    /// The path of the field, such as `content.routes[2].prefix`.
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
