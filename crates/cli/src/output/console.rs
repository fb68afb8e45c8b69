//! Where results and errors are written.

use std::io::{self, Write};

use almondsail_wire::operator as wire;
use serde::Serialize;

use crate::delivery::NodeFailure;
use crate::output::Format;

/// Writes results and errors in one form: text with errors on the standard
/// error, or lines of JSON on the standard output.
#[derive(Debug, Clone, Copy)]
pub struct Console {
    format: Format,
}

impl Console {
    /// Writes in the form `format`.
    pub const fn new(format: Format) -> Self {
        Self { format }
    }

    /// The form.
    pub const fn format(&self) -> Format {
        self.format
    }

    /// Writes a result; `text` makes its form for people.
    pub fn show<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) {
        match self.format {
            Format::Text => write_stdout(&text(value)),
            Format::Json => write_stdout(&format!("{}\n", to_json(value))),
        }
    }

    /// Writes text in either form.
    pub fn text(&self, text: &str) {
        write_stdout(text);
    }

    /// Writes an error.
    pub fn error(&self, e: &wire::Error) {
        match self.format {
            Format::Text => eprintln!("{}", e.message),
            Format::Json => write_stdout(&format!("{}\n", to_json(e))),
        }
    }

    /// Writes an error that the tool itself found.
    pub fn local_error(&self, code: &str, message: &str) {
        let (code, message) = (code.to_owned(), message.to_owned());
        self.error(&wire::Error { code, message, field: String::new() });
    }

    /// Writes why nodes did not help, always on the standard error.
    pub fn failures(&self, failures: &[NodeFailure]) {
        for NodeFailure { node, problem } in failures {
            eprintln!("node {node} {problem}");
        }
    }
}

/// Writes text to the standard output. A reader that has gone needs no more of it.
fn write_stdout(text: &str) {
    let _ = io::stdout().lock().write_all(text.as_bytes());
}

/// The JSON text of a generated type, which has text keys only and so can be written.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
