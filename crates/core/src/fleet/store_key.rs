//! The keys of the store.

use std::sync::Arc;

use crate::ids::{BackendId, DataCentre, NodeId, ServiceName};

/// A part of the store's keys that a node watches as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeySpace {
    /// The keys that the operator writes: the configuration, and the orders of rollouts and
    /// evacuations.
    Operator,
    /// The keys that the nodes write: their entries, departures and the progress of rollouts.
    Nodes,
}

/// A decoded key of the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// The newest configuration of the mesh.
    Config,
    /// The order to move a service to a version.
    Order(ServiceName),
    /// The order that no call is sent to the backend servers of a data centre.
    Evacuation(DataCentre),
    /// The state of a rollout for the operator to read.
    Status(ServiceName),
    /// The entry of a node, under its lease.
    Node(NodeId),
    /// The departure of a backend server.
    Departure(BackendId),
    /// The progress of a rollout.
    Progress(ServiceName),
    /// A key that does not belong to the mesh.
    Foreign(Arc<str>),
}
