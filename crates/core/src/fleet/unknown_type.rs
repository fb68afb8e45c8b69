//! Types of configuration entries that this build does not know.

use std::fmt;
use std::sync::Arc;

use crate::fleet::UnknownKind;

/// A type of configuration entries that this build does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownType {
    /// The name of the type, at most [`UnknownKind::MAX_CHARS`] characters of it.
    pub name: Arc<str>,
    /// The number of entries of this type.
    pub entries: u32,
}

impl UnknownType {
    /// Creates the type `name` with `entries`.
    pub fn new(name: &str, entries: u32) -> Self {
        let name: String = name.chars().take(UnknownKind::MAX_CHARS).collect();
        Self { name: name.into(), entries }
    }
}

impl fmt::Display for UnknownType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "type {:?} of {} entries is unknown", self.name, self.entries)
    }
}
