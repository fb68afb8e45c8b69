//! Errors of reading a settings file.

use std::fmt;
use std::path::PathBuf;

use super::InvalidField;

/// Why a settings file is rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file at this path can't be read.
    Read(PathBuf, std::io::Error),
    /// The file is not valid JSON with comments; holds the parser's message.
    Syntax(String),
    /// Fields are missing, invalid or unknown; holds all of them.
    InvalidFields(Vec<InvalidField>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, e) => write!(f, "{}: {e}", path.display()),
            Self::Syntax(problem) => write!(f, "not JSON with comments: {problem}"),
            Self::InvalidFields(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&texts.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}
