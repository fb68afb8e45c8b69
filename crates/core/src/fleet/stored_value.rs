//! Decoded values of the store's items.

use std::sync::Arc;

use crate::fleet::{
    ConfigProblem, ConfigText, Departure, NodeEntry, RolloutOrder, RolloutProgress,
};

/// The decoded value of an item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredValue {
    /// The newest configuration, or why it can't be used.
    Config(Result<ConfigText, ConfigProblem>),
    /// An order to move a service to a version.
    Order(RolloutOrder),
    /// An order to evacuate the data centre that the key names.
    Evacuation,
    /// The progress of a rollout.
    Progress(RolloutProgress),
    /// The entry by which other nodes find a node.
    Node(NodeEntry),
    /// The last start of a backend server that has left.
    Departure(Departure),
    /// A value that can't be decoded, with the reason. It is ignored.
    Unreadable(Arc<str>),
}
