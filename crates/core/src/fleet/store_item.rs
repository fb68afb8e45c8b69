//! Items of the store.

use crate::fleet::{StoreKey, StoredValue};
use crate::store::Revision;

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Its key.
    pub key: StoreKey,
    /// Its last change.
    pub revision: Revision,
    /// Its value.
    pub value: StoredValue,
}

/// A change of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemChange {
    /// The item was written.
    Put(StoreItem),
    /// The item was removed.
    Removed(StoreKey, Revision),
}
