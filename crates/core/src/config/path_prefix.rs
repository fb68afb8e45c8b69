//! The path prefix of a route.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::ids::ParseIdError;

/// The prefix of the request paths that a route matches, such as `/bays`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PathPrefix(
    /// Begins with `/` and does not end with one, except for the root `/`.
    Arc<str>,
);

impl PathPrefix {
    /// Maximum length of a prefix in bytes.
    pub const MAX_BYTES: usize = 256;

    /// Returns the prefix as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether `path` equals this prefix or lies below it.
    ///
    /// ```
    /// use almondsail_core::config::PathPrefix;
    ///
    /// let prefix: PathPrefix = "/bays".parse()?;
    /// assert!(prefix.matches("/bays/7"));
    /// assert!(!prefix.matches("/baystate"));
    /// # Ok::<(), almondsail_core::ids::ParseIdError>(())
    /// ```
    pub fn matches(&self, path: &str) -> bool {
        if &*self.0 == "/" {
            return path.starts_with('/');
        }
        path.strip_prefix(&*self.0).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl fmt::Display for PathPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PathPrefix {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~/".contains(&b);
        let is_canonical = s == "/" || (!s.ends_with('/') && !s.contains("//"));
        if s.starts_with('/')
            && s.len() <= Self::MAX_BYTES
            && is_canonical
            && s.bytes().all(is_allowed)
        {
            Ok(Self(s.into()))
        } else {
            Err(ParseIdError::new(
                "path prefix",
                s,
                "'/' or segments such as /bays/moves of A-Z, a-z, 0-9, '-', '.', '_' and '~', 256 bytes at most",
            ))
        }
    }
}
