//! The view of the other nodes by which quotas are kept.

use super::fleet_control::FleetControl;
use super::peer::Peer;
use super::peer_directory::PeerDirectory;
use crate::ids::{ConfigVersion, NodeId};
use crate::quota::{QuotaMembers, QuotaNode, QuotaNodeCounts};
use crate::units::{Instant, Micros, Millis};

impl FleetControl {
    /// Returns the nodes that keep quotas and share them, or `None` if no team has a quota. `now`
    /// is the time of the control state, and `time` that of quotas, which includes suspended time.
    ///
    /// Looks at every node; to be called at most about ten times a second.
    pub fn quota_members(
        &self,
        now: Instant,
        time: Instant,
        known: &QuotaMembers,
    ) -> Option<QuotaMembers> {
        let config = self.config.as_ref().map(|text| &text.config);
        if !config.is_some_and(|config| config.teams.has_quotas()) {
            return None;
        }
        let mut candidates: Vec<QuotaNode> = self
            .peers
            .live()
            .filter(|peer| !is_leaving(peer) && peer.config_version() > ConfigVersion::default())
            .map(|peer| self.quota_node(peer))
            .collect();
        if self.is_ready(now) {
            let entry = &self.identity.entry;
            let own = QuotaNode::new(entry.node.clone(), entry.heartbeats, Micros::default());
            candidates.push(own);
        }
        let is_left = |node: &NodeId| self.peers.get(node).is_none_or(is_leaving);
        Some(known.update(time, candidates, self.quota_node_counts(now), is_left))
    }

    fn quota_node_counts(&self, now: Instant) -> QuotaNodeCounts {
        let mut counts = QuotaNodeCounts { fresh: 1, local: 1, known: 1 };
        for peer in self.peers.iter().filter(|peer| !is_leaving(peer)) {
            counts.known += 1;
            let silence = now.since(peer.last_seen());
            if peer.heartbeat.is_some() && silence <= self.peers.quota_time(peer.is_local) {
                counts.fresh += 1;
                counts.local += u32::from(peer.is_local);
            }
        }
        counts
    }

    fn quota_node(&self, peer: &Peer) -> QuotaNode {
        let counted_for = self.peers.quota_time(peer.is_local);
        QuotaNode::at_position(
            peer.position,
            peer.node().clone(),
            peer.entry.heartbeats,
            counted_for,
        )
    }
}

impl PeerDirectory {
    /// How much earlier than the heartbeat timeout a node of the same data centre stops counting. A
    /// little more than the time between two heartbeats, by which two nodes notice the loss of each
    /// other at different times.
    const LOCAL_QUOTA_MARGIN: Millis = Millis::new(600);
    /// The same for a node of another data centre.
    const REMOTE_QUOTA_MARGIN: Millis = Millis::new(2_000);

    /// Returns how long after its last heartbeat a node counts among those that share the quotas of
    /// this one. Shorter than the heartbeat timeout, so that a node no longer counts here once
    /// it may have chosen another owner.
    fn quota_time(&self, is_local: bool) -> Micros {
        let margin = if is_local { Self::LOCAL_QUOTA_MARGIN } else { Self::REMOTE_QUOTA_MARGIN };
        Millis::new(self.timeout(is_local).get() - margin.get()).into()
    }
}

fn is_leaving(peer: &Peer) -> bool {
    peer.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_leaving)
}
