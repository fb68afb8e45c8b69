//! The format of the output.

/// The format in which results and errors are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences for people.
    Text,
    /// One line of JSON for each statement or error.
    Json,
}
