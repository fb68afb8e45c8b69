//! The form of the output.

/// The form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences for people.
    Text,
    /// One line of JSON for each statement.
    Json,
}
