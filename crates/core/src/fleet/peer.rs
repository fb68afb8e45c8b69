//! Another node, as this node knows it.

use crate::fleet::{Heartbeat, NodeEntry, NodeKey};
use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::peers::hash::hash_text;
use crate::units::{Instant, Millis};

/// Another node, as this node knows it.
#[derive(Debug)]
pub struct Peer {
    /// The id and addresses of the other node.
    pub entry: NodeEntry,
    /// Whether the other node is in the same data centre as this one.
    pub is_local: bool,
    /// The newest heartbeat of the other node; `None` if only its entry in the store is known.
    pub heartbeat: Option<Heartbeat>,
    /// When a heartbeat that was newer than all before was last heard of, or when the entry was
    /// found in the store.
    pub(super) last_seen: Instant,
    /// The largest sequence number that was heard of in the start that `heartbeat` names; at least
    /// that of `heartbeat`, which may not have arrived itself.
    pub(super) latest_sequence: u64,
    /// The sequence number of the first heartbeat of that start with its present content. If it is
    /// above that of `heartbeat`, the present content is not known.
    pub(super) latest_revision: u64,
    /// The key of the start that `heartbeat` names; `None` without a heartbeat.
    pub(super) key: Option<NodeKey>,
    /// How long after `last_seen` the node counts as silent.
    pub(super) timeout: Millis,
    pub(super) liveness: Liveness,
    /// When the liveness is checked next; the node's place in the directory's list of checks.
    pub(super) next_check: Instant,
    /// The position of the node on the ring of its data centre.
    pub(super) position: u64,
}

/// Whether a node was heard of lately, as of the last check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Liveness {
    /// Only an entry in the store is known, since a short time.
    Unheard,
    /// The node was heard of lately.
    Live,
    /// The node was not heard of lately, or never.
    Silent,
}

impl Peer {
    /// Creates the state of a node that the store lists.
    pub(super) fn listed(now: Instant, entry: NodeEntry, is_local: bool) -> Self {
        Self {
            position: hash_text(entry.node.as_str()),
            entry,
            is_local,
            heartbeat: None,
            last_seen: now,
            latest_sequence: 0,
            latest_revision: 0,
            key: None,
            timeout: Millis::default(),
            liveness: Liveness::Unheard,
            next_check: now,
        }
    }

    /// Returns the id of the node.
    pub const fn node(&self) -> &NodeId {
        &self.entry.node
    }

    /// Returns when the node was last heard of or its entry was found in the store.
    pub const fn last_seen(&self) -> Instant {
        self.last_seen
    }

    /// Returns whether the node was heard of lately, as of the last check.
    pub(super) fn is_live(&self) -> bool {
        self.liveness == Liveness::Live
    }

    /// Returns whether the node was not heard of within its timeout.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.heartbeat.is_none() || now.since(self.last_seen) > self.timeout.into()
    }

    /// Returns the start of the node that its last heartbeat names; `None` without a heartbeat.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.heartbeat.as_ref().map(|heartbeat| heartbeat.incarnation)
    }

    /// Returns the version of the node's configuration in force; zero if none is known.
    pub(super) fn config_version(&self) -> ConfigVersion {
        self.heartbeat.as_ref().map_or(ConfigVersion::default(), |known| known.config_version)
    }

    /// Returns whether the known heartbeat is newer than `other`. A start with a lower number is
    /// accepted once the known one is silent, because the time of day may jump back.
    pub(super) fn is_newer_than(&self, now: Instant, other: &Heartbeat) -> bool {
        let Some(known) = &self.heartbeat else { return false };
        match known.incarnation.cmp(&other.incarnation) {
            std::cmp::Ordering::Equal => known.sequence >= other.sequence,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Greater => !self.is_silent(now),
        }
    }

    /// Replaces the heartbeat by a newer one. One that another node passed on lacks the present version
    /// of the configuration.
    pub(super) fn replace_heartbeat(
        &mut self,
        now: Instant,
        mut heartbeat: Heartbeat,
        is_direct: bool,
    ) {
        let is_same_start = self.incarnation() == Some(heartbeat.incarnation);
        if is_same_start && !is_direct {
            heartbeat.config_version = heartbeat.config_version.max(self.config_version());
        }
        if !is_same_start {
            self.key = Some(NodeKey::of(&heartbeat.entry.node, heartbeat.incarnation));
            self.latest_sequence = 0;
            self.latest_revision = 0;
        }
        self.latest_revision = self.latest_revision.max(heartbeat.revision);
        self.record_sequence(now, heartbeat.sequence);
        self.entry = heartbeat.entry.clone();
        self.heartbeat = Some(heartbeat);
    }

    /// Returns the number of the newest heartbeat whose content is known; zero without a heartbeat.
    pub(super) fn known_sequence(&self) -> u64 {
        let known = self.heartbeat.as_ref().map_or(0, |heartbeat| heartbeat.sequence);
        if self.latest_revision <= known { self.latest_sequence } else { known }
    }

    /// Records that a heartbeat of the known start with this number was sent. Returns whether it is
    /// newer than all before.
    pub(super) fn record_sequence(&mut self, now: Instant, sequence: u64) -> bool {
        let is_newer = sequence > self.latest_sequence;
        if is_newer {
            self.latest_sequence = sequence;
            self.last_seen = now;
        }
        is_newer
    }
}
