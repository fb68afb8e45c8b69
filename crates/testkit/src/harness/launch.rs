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

    /// Sets the option `--NAME VALUE`, in place of an earlier value.
    pub fn with_option(mut self, name: &str, value: impl Into<OsString>) -> Self {
        let option = OsString::from(format!("--{name}"));
        match self.args.iter().position(|arg| *arg == option) {
            Some(at) if !Self::REPEATABLE_OPTIONS.contains(&name) => {
                self.args[at + 1] = value.into()
            }
            _ => self.args.extend([option, value.into()]),
        }
        self
    }

    /// Adds an argument without a name.
    pub fn with_argument(mut self, value: impl Into<OsString>) -> Self {
        self.args.push(value.into());
        self
    }

    /// Options that may be given several times.
    const REPEATABLE_OPTIONS: [&str; 1] = ["service-time"];
}
