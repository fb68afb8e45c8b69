//! Reason for which a node reads the store.

/// Reason for which a node reads the store, if it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// The node does not read the store. It gets configurations from its peers.
    None,
    /// The node ranks among the first of its data centre, so it watches the store.
    Ranked,
    /// The node knows no other live node, so it reads the store itself.
    Alone,
}
