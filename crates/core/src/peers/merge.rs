//! Result of merging an entry into the peer table.

/// Result of merging an entry into the peer table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The entry does not override the one in the table.
    Unchanged,
    /// The entry was added or replaced the one in the table.
    Changed,
    /// The entry overrode this node's own entry, so this node raised its incarnation.
    Refuted,
}
