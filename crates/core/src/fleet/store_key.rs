//! The keys of the store.

use std::sync::Arc;

use crate::ids::{NodeId, ServiceName};

/// A part of the store that a node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeySpace {
    /// What the operator writes: the configuration and the orders of rollouts.
    Operator,
    /// What the nodes write: their entries and the progress of rollouts.
    Nodes,
}

/// A key of the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// The newest configuration.
    Config,
    /// The order to move a service to a version.
    Order(ServiceName),
    /// What the operator reads of a rollout.
    Status(ServiceName),
    /// The entry of a node, under its lease.
    Node(NodeId),
    /// The progress of a rollout.
    Progress(ServiceName),
    /// A key that is not ours.
    Foreign(Arc<str>),
}
