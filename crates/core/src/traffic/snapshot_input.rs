//! The state from which a snapshot is built.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::{Config, StopMark};
use crate::peers::Peer;

/// The state from which a [`Snapshot`](crate::traffic::Snapshot) is built, except for the peers.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInput<'a> {
    /// The peer table entry of this node.
    pub own: &'a Peer,
    /// The configuration in force; `None` until the node may serve calls.
    pub config: Option<&'a Arc<Config>>,
    /// The stop marks received from peers.
    pub stops: &'a BTreeSet<StopMark>,
}
