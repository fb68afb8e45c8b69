//! Writes results and errors to the standard output and standard error.

use std::io::{self, Write};

use almondsail_wire::operator as wire;
use serde::Serialize;

use crate::delivery::NodeFailure;
use crate::output::Format;

/// Writes results and errors in the output format of the run: as text, with errors on the standard
/// error, or as lines of JSON, all on the standard output.
#[derive(Debug, Clone, Copy)]
pub struct Console {
    format: Format,
}

impl Console {
    /// Creates a console that writes results and errors in `format`.
    pub const fn new(format: Format) -> Self {
        Self { format }
    }

    /// Returns the format, for callers that format a result themselves.
    pub const fn format(&self) -> Format {
        self.format
    }

    /// Writes a result as JSON, or as the text that `text` makes of it.
    pub fn show<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) {
        match self.format {
            Format::Text => write_stdout(&text(value)),
            Format::Json => write_stdout(&format!("{}\n", to_json(value))),
        }
    }

    /// Writes text to the standard output as it is, whatever the format.
    pub fn text(&self, text: &str) {
        write_stdout(text);
    }

    /// Writes an error; the text format shows only its message.
    pub fn error(&self, e: &wire::Error) {
        match self.format {
            Format::Text => eprintln!("{}", e.message),
            Format::Json => write_stdout(&format!("{}\n", to_json(e))),
        }
    }

    /// Writes an error that the tool found itself, in the form of an error from a node.
    pub fn local_error(&self, code: &str, message: &str) {
        let (code, message) = (code.to_owned(), message.to_owned());
        self.error(&wire::Error { code, message, field: String::new() });
    }

    /// Writes why each node failed, to the standard error in either format.
    pub fn failures(&self, failures: &[NodeFailure]) {
        for NodeFailure { node, problem } in failures {
            eprintln!("node {node} {problem}");
        }
    }
}

/// Writes text to the standard output. Ignores errors, since a reader that closed the pipe wants no
/// more output.
fn write_stdout(text: &str) {
    let _ = io::stdout().lock().write_all(text.as_bytes());
}

/// Serializes a generated type. This can't fail, since these types have only string keys.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
