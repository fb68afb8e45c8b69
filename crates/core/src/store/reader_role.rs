//! Why a node may read the store.

/// Why a node may read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It may not.
    None,
    /// It ranks among the first of its data centre.
    Ranked,
    /// It knows nobody.
    Alone,
}
