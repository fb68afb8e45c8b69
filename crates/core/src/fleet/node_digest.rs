//! What a node passes on about other nodes.

use crate::fleet::{Heartbeat, NodeKey};

/// What a node passes on about other nodes, so that each node needs to send to few others only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeDigest {
    /// Heartbeats of other nodes whose content has changed, without departures, rollouts and
    /// digests: the sender's own heartbeat carries these.
    pub changed: Vec<Heartbeat>,
    /// The newest heartbeats that the sender knows of some live nodes.
    pub latest: Vec<LatestHeartbeat>,
    /// Nodes whose heartbeats the sender lacks and asks the receiver for.
    pub wanted: Vec<NodeKey>,
}

/// The newest heartbeat of a node that another node knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestHeartbeat {
    /// The start of the node that sent the heartbeat.
    pub key: NodeKey,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
    /// The sequence number of the heartbeat that last changed its content; at most `sequence`.
    pub revision: u64,
}

impl NodeDigest {
    /// The largest number of heartbeats, and of nodes asked for, in one digest. Keeps a datagram
    /// within a few kilobytes.
    pub const MAX_CHANGED: usize = 24;

    /// Returns whether the digest contains nothing.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.latest.is_empty() && self.wanted.is_empty()
    }
}
