//! What became of a merged entry.

/// What became of an entry that was merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The table knew as much already.
    Unchanged,
    /// The entry is new or overrode the one held.
    Changed,
    /// The entry said something false of this node, which raised its incarnation.
    Refuted,
}
