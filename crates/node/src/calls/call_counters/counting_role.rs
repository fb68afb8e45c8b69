//! Points on the path of a call at which it is counted.

/// The node on the path of a call that counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountingRole {
    /// The entry node, to which the caller sends the call.
    Entry,
    /// The node beside the backend server that runs the call.
    Backend,
}

impl CountingRole {
    /// Returns the value of the metric label `at`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Backend => "door",
        }
    }
}
