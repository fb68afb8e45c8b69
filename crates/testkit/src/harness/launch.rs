//! The command with which a process is started.

use std::ffi::OsString;

use super::Binary;

/// The command with which a process is started.
#[derive(Debug, Clone)]
pub struct Launch {
    /// The executable to start.
    pub binary: Binary,
    /// The name of the process in errors and of its `NAME.stderr` file.
    pub name: String,
    /// The command-line arguments, without the name of the program.
    pub args: Vec<OsString>,
    /// Whether stdout is kept in a `NAME.stdout` file.
    pub keeps_stdout: bool,
}

impl Launch {
    /// Creates a command that starts `binary` without arguments.
    pub fn new(binary: Binary, name: impl Into<String>) -> Self {
        Self { binary, name: name.into(), args: Vec::new(), keeps_stdout: false }
    }

    /// Sets the option `--NAME VALUE`, replacing an earlier value unless the option
    /// may be repeated.
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

    /// Keeps stdout in a `NAME.stdout` file, including that of earlier starts.
    pub fn keeping_stdout(self) -> Self {
        Self { keeps_stdout: true, ..self }
    }

    /// Adds a positional argument.
    pub fn with_argument(mut self, value: impl Into<OsString>) -> Self {
        self.args.push(value.into());
        self
    }

    /// Names of the options that may be given several times.
    const REPEATABLE_OPTIONS: [&str; 1] = ["service-time"];
}
