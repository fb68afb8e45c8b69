//! The nodes among which the owners of quotas are chosen.

use std::net::SocketAddr;

use crate::ids::NodeId;
use crate::peers::hash::hash_text;
use crate::peers::rank_positions;
use crate::units::{Instant, Micros, Millis};

/// A node that can own quotas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaNode {
    /// The id of the node.
    pub node: NodeId,
    /// The address to which requests go.
    pub address: SocketAddr,
    /// How long after the last heartbeat from this node the other node still counts it when it
    /// computes the share of the quotas that it grants.
    pub counted_for: Micros,
    /// The position by which the nodes are ranked.
    position: u64,
}

impl QuotaNode {
    /// Creates a node that can own quotas.
    pub fn new(node: NodeId, address: SocketAddr, counted_for: Micros) -> Self {
        Self::at_position(hash_text(node.as_str()), node, address, counted_for)
    }

    /// Creates a node like [`Self::new`], from its known position.
    pub(crate) const fn at_position(
        position: u64,
        node: NodeId,
        address: SocketAddr,
        counted_for: Micros,
    ) -> Self {
        Self { node, address, counted_for, position }
    }
}

/// Numbers of nodes, each including this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaNodeCounts {
    /// The nodes that were heard lately.
    pub fresh: u32,
    /// Those of `fresh` in the same data centre.
    pub local: u32,
    /// The nodes that are known and have not left.
    pub known: u32,
}

/// The role of a node in keeping the quota of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRole {
    /// The node keeps the quota.
    Owner,
    /// The node is the next one to keep the quota, and grants a few tokens to nodes that the owner
    /// doesn't answer.
    Deputy,
    /// Other nodes keep the quota.
    Other,
}

/// The nodes among which the owners of quotas are chosen, as one node knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaMembers {
    /// The id of this node.
    pub own: NodeId,
    /// When this was last updated. A node whose view is old doesn't grant tokens.
    pub updated: Instant,
    /// The number of nodes that this one has heard so lately that they don't use their local
    /// shares, itself included.
    pub fresh: u32,
    /// Those of `fresh` in the same data centre, this one included.
    pub local: u32,
    /// The number of nodes that are known and have not left, this one included; at least `fresh`.
    pub known: u32,
    /// Since when the candidates have not changed and this node has not paused.
    pub unchanged_since: Instant,
    /// Until then nodes of other data centres may not have noticed that an owner is silent, and use
    /// their local shares.
    pub handover_until: Instant,
    /// When this node last resumed after a pause.
    pub resumed: Instant,
    /// Changes with the candidates.
    pub version: u64,
    /// The live nodes that don't leave and have a configuration, in the order of their ids.
    candidates: Vec<QuotaNode>,
}

impl QuotaMembers {
    /// The time after which a view that was not updated is old.
    pub const MAX_AGE: Micros = Micros::new(500_000);
    /// How much later than within a data centre other nodes notice the silence of a node.
    const HANDOVER_TIME: Millis = Millis::new(2_300);

    /// Creates the view of a node that starts at `now` and knows no candidates.
    pub const fn new(own: NodeId, now: Instant) -> Self {
        Self {
            own,
            updated: now,
            fresh: 1,
            local: 1,
            known: 1,
            unchanged_since: now,
            handover_until: now,
            resumed: now,
            version: 0,
            candidates: Vec::new(),
        }
    }

    /// Returns the view at `now` with other candidates and counts. `is_leaving` returns
    /// whether a node that is no longer a candidate has announced that it leaves.
    #[must_use]
    pub fn update(
        &self,
        now: Instant,
        mut candidates: Vec<QuotaNode>,
        counts: QuotaNodeCounts,
        is_leaving: impl Fn(&NodeId) -> bool,
    ) -> Self {
        candidates.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        let is_paused = now.since(self.updated) > Self::MAX_AGE;
        let is_same = candidates == self.candidates;
        let is_silent = |node: &QuotaNode| {
            let found = candidates.binary_search_by(|other| other.node.cmp(&node.node));
            found.is_err() && !is_leaving(&node.node)
        };
        let has_lost = !is_same && self.candidates.iter().any(is_silent);
        let QuotaNodeCounts { fresh, local, known } = counts;
        Self {
            own: self.own.clone(),
            updated: now,
            fresh,
            local,
            known: known.max(fresh).max(1),
            handover_until: if has_lost { now + Self::HANDOVER_TIME } else { self.handover_until },
            unchanged_since: if is_same && !is_paused { self.unchanged_since } else { now },
            resumed: if is_paused { now } else { self.resumed },
            version: self.version + u64::from(!is_same),
            candidates,
        }
    }

    /// Returns whether this view is too old for granting tokens.
    pub fn is_old(&self, now: Instant) -> bool {
        now.since(self.updated) > Self::MAX_AGE
    }

    /// Returns the share of the known nodes that get their tokens from this one rather than use
    /// their local shares.
    pub fn share(&self, now: Instant) -> f64 {
        let nodes = if now < self.handover_until { self.local } else { self.fresh };
        f64::from(nodes) / f64::from(self.known.max(1))
    }

    /// Returns the owner of the quota of `team` and its deputy, in this order, if there are any.
    pub fn keepers(&self, team: &str) -> Vec<&QuotaNode> {
        let positions = self.candidates.iter().map(|node| (node.position, &node.node));
        let ranked = rank_positions(team, positions, 2);
        let find = |id: &NodeId| {
            self.candidates
                .binary_search_by(|node| node.node.cmp(id))
                .ok()
                .map(|i| &self.candidates[i])
        };
        ranked.into_iter().filter_map(find).collect()
    }

    /// Returns the role of this node in keeping the quota of `team`.
    pub fn role(&self, team: &str) -> QuotaRole {
        let keepers = self.keepers(team);
        match keepers.iter().position(|node| node.node == self.own) {
            Some(0) => QuotaRole::Owner,
            Some(_) => QuotaRole::Deputy,
            None => QuotaRole::Other,
        }
    }
}
