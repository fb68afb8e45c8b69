//! What a node has to tell of other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::peer::Peer;
use super::peer_directory::PeerDirectory;
use super::rotation::Rotation;
use crate::fleet::{Heartbeat, LatestHeartbeat, NodeDigest, NodeKey};
use crate::ids::NodeId;
use crate::units::{Instant, Millis};

/// What a node has to tell of other nodes, and to ask about them.
///
/// A change is told once, and a later change of the same node takes its place while it waits, so
/// that a storm of changes neither grows a queue nor the number of datagrams.
#[derive(Debug)]
pub(super) struct Relays {
    /// The nodes whose changes the links of this node are to be told of.
    local: BTreeSet<NodeId>,
    /// The nodes whose changes other data centres are to be told of.
    remote: BTreeSet<NodeId>,
    /// The nodes whose heartbeats this node lacks, with who knows them.
    wanted: BTreeMap<NodeKey, SocketAddr>,
    next_change_at: Instant,
    next_question_at: Instant,
    local_turn: Rotation,
    remote_turn: Rotation,
    gateway_turn: Rotation,
}

/// How many nodes a digest names in one turn.
#[derive(Debug, Clone, Copy)]
struct Turns {
    all_within: usize,
    min_nodes: usize,
}

impl Turns {
    /// Returns the number of nodes to name out of `all`.
    fn nodes(self, all: usize) -> usize {
        all.div_ceil(self.all_within).max(self.min_nodes)
    }
}

impl Relays {
    /// The time between two datagrams that pass on changes, and between two questions.
    const INTERVAL: Millis = Millis::new(100);
    /// The nodes of the same data centre whose newest heartbeats a digest names: the number of turns
    /// after which it has named all, and the smallest number of nodes.
    const LOCAL_LATEST: Turns = Turns { all_within: 4, min_nodes: 24 };
    /// The same for nodes of other data centres.
    const REMOTE_LATEST: Turns = Turns { all_within: 8, min_nodes: 32 };
    /// The same for what a gateway tells other data centres, which are sent fewer digests.
    const GATEWAY_LATEST: Turns = Turns { all_within: 2, min_nodes: 32 };

    /// Creates the state of the node `own`.
    pub(super) fn new(own: &NodeId) -> Self {
        Self {
            local: BTreeSet::new(),
            remote: BTreeSet::new(),
            wanted: BTreeMap::new(),
            next_change_at: Instant::new(0),
            next_question_at: Instant::new(0),
            local_turn: Rotation::after(own.clone()),
            remote_turn: Rotation::after(own.clone()),
            gateway_turn: Rotation::after(own.clone()),
        }
    }

    /// Records that the links are to be told of a change of `node`, and other data centres as well
    /// if `is_for_remote`.
    pub(super) fn add(&mut self, node: &NodeId, is_for_remote: bool) {
        self.local.insert(node.clone());
        if is_for_remote {
            self.remote.insert(node.clone());
        }
    }

    /// Returns whether changes are due at `now` for the links and for other data centres.
    pub(super) fn due(&self, now: Instant) -> (bool, bool) {
        let is_due = now >= self.next_change_at;
        (is_due && !self.local.is_empty(), is_due && !self.remote.is_empty())
    }

    /// Records that this node lacks the heartbeat of the start `key`, which the node at `known_by`
    /// has.
    pub(super) fn want(&mut self, key: NodeKey, known_by: SocketAddr) {
        self.wanted.entry(key).or_insert(known_by);
    }

    /// Returns the questions that are due at `now`, by the node to ask.
    pub(super) fn take_questions(&mut self, now: Instant) -> BTreeMap<SocketAddr, Vec<NodeKey>> {
        let mut questions: BTreeMap<SocketAddr, Vec<NodeKey>> = BTreeMap::new();
        if self.wanted.is_empty() || now < self.next_question_at {
            return questions;
        }
        self.next_question_at = now + Self::INTERVAL;
        for (key, known_by) in std::mem::take(&mut self.wanted) {
            let keys = questions.entry(known_by).or_default();
            // A digest names the nodes left out again.
            if keys.len() < NodeDigest::MAX_CHANGED {
                keys.push(key);
            }
        }
        questions
    }

    /// Returns the digest for the links of this node. The newest heartbeats of other nodes are part
    /// of it if `with_latest`.
    pub(super) fn local_digest(
        &mut self,
        now: Instant,
        peers: &PeerDirectory,
        with_latest: bool,
    ) -> NodeDigest {
        self.next_change_at = now + Self::INTERVAL;
        let changed = take_changed(&mut self.local, peers);
        let mut latest = Vec::new();
        if with_latest {
            let (local, remote) = (&peers.live.local, &peers.live.remote);
            latest.extend(self.local_turn.next(local, Self::LOCAL_LATEST.nodes(local.len())));
            latest.extend(self.remote_turn.next(remote, Self::REMOTE_LATEST.nodes(remote.len())));
        }
        digest(peers, changed, &latest)
    }

    /// Returns the digest for other data centres, of nodes of the same one as this node.
    pub(super) fn remote_digest(
        &mut self,
        now: Instant,
        peers: &PeerDirectory,
        with_latest: bool,
    ) -> NodeDigest {
        self.next_change_at = now + Self::INTERVAL;
        let changed = take_changed(&mut self.remote, peers);
        let local = &peers.live.local;
        let latest = if with_latest {
            self.gateway_turn.next(local, Self::GATEWAY_LATEST.nodes(local.len()))
        } else {
            Vec::new()
        };
        digest(peers, changed, &latest)
    }
}

/// Returns the digest with the heartbeats of some nodes, and what is known of the `latest` ones.
fn digest(peers: &PeerDirectory, changed: Vec<Heartbeat>, latest: &[NodeId]) -> NodeDigest {
    let latest = latest.iter().filter_map(|node| peers.get(node)).filter_map(to_latest);
    NodeDigest { changed, latest: latest.collect(), wanted: Vec::new() }
}

fn to_latest(peer: &Peer) -> Option<LatestHeartbeat> {
    Some(LatestHeartbeat {
        key: peer.key?,
        sequence: peer.latest_sequence,
        revision: peer.latest_revision,
    })
}

/// Takes the heartbeats of the first nodes of `nodes`.
fn take_changed(nodes: &mut BTreeSet<NodeId>, peers: &PeerDirectory) -> Vec<Heartbeat> {
    let mut changed = Vec::new();
    while changed.len() < NodeDigest::MAX_CHANGED
        && let Some(node) = nodes.pop_first()
    {
        changed.extend(peers.get(&node).and_then(passed_on));
    }
    changed
}

/// Returns the heartbeat of a live node as it is passed on.
pub(super) fn passed_on(peer: &Peer) -> Option<Heartbeat> {
    let heartbeat = peer.heartbeat.as_ref().filter(|_| peer.is_live())?;
    Some(Heartbeat {
        entry: heartbeat.entry.clone(),
        sequence: peer.known_sequence(),
        backend: heartbeat.backend.clone(),
        departures: Vec::new(),
        rollouts: Vec::new(),
        evacuations: None,
        confirmation: None,
        digest: None,
        ..*heartbeat
    })
}
