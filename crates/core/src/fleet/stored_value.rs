//! The decoded value of an item.

use std::sync::Arc;

use crate::fleet::{ConfigProblem, ConfigText, NodeEntry, RolloutOrder, RolloutProgress};

/// The decoded value of an item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredValue {
    /// The newest configuration, or why it can't be used.
    Config(Result<ConfigText, ConfigProblem>),
    /// An order to move a service to a version.
    Order(RolloutOrder),
    /// How far a rollout is.
    Progress(RolloutProgress),
    /// The entry of a node.
    Node(NodeEntry),
    /// A value that can't be read, and why. It is ignored.
    Unreadable(Arc<str>),
}
