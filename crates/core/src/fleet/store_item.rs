//! Items of the store and their changes.

use crate::fleet::{StoreKey, StoredValue};
use crate::store::Revision;

/// An item of the store with its decoded value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key under which the item is stored.
    pub key: StoreKey,
    /// The revision of the item's last change.
    pub revision: Revision,
    /// The decoded value of the item.
    pub value: StoredValue,
}

/// A change of an item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemChange {
    /// The item was created or overwritten.
    Put(StoreItem),
    /// The item with this key was removed at this revision.
    Removed(StoreKey, Revision),
}
