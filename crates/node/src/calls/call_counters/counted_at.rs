//! Where calls are counted.

/// Where calls were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountedAt {
    /// At the node that the caller chose.
    Entry,
    /// At the node beside the backend server.
    Backend,
}

impl CountedAt {
    /// The text in labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Backend => "door",
        }
    }
}
