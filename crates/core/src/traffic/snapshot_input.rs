//! What a snapshot is built from.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::{Config, StopMark};
use crate::peers::Peer;

/// What a snapshot is built from.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInput<'a> {
    /// This node's own entry.
    pub own: &'a Peer,
    /// The configuration in force, if the node may serve.
    pub config: Option<&'a Arc<Config>>,
    /// The stop marks heard from peers.
    pub stops: &'a BTreeSet<StopMark>,
}
