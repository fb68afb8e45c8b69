//! How a process is started.

use std::ffi::OsString;

use super::Binary;

/// How a process is started.
#[derive(Debug, Clone)]
pub struct Launch {
    /// The binary.
    pub binary: Binary,
    /// The name under which the process keeps its output.
    pub name: String,
    /// The arguments.
    pub args: Vec<OsString>,
}

impl Launch {
    /// Starts `binary` without arguments.
    pub fn new(binary: Binary, name: impl Into<String>) -> Self {
        Self { binary, name: name.into(), args: Vec::new() }
    }

    /// Adds the arguments `--NAME VALUE`.
    pub fn with(mut self, name: &str, value: impl Into<OsString>) -> Self {
        self.args.extend([OsString::from(format!("--{name}")), value.into()]);
        self
    }
}
