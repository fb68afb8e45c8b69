//! Handles heartbeats of other nodes and fetches newer configurations from them.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::fleet_control::FleetControl;
use super::live_nodes::Rank;
use super::peer_directory::HeartbeatPath;
use crate::fleet::{
    ConfigText, FleetAction, FleetChange, Heartbeat, NodeDigest, NodeEntry, PartialConfig,
    StoreRole,
};
use crate::units::{Instant, Micros, Millis, UnixMillis};

impl FleetControl {
    /// The smallest number of nodes of a data centre that watch the store. A second one covers the
    /// time until a dead or frozen first one is noticed.
    const MIN_WATCHERS: usize = 2;
    /// The number of nodes of a data centre for each that watches the store: a configuration of a
    /// megabyte takes most of a second on a slow link, so one node can pass it on to only a few
    /// others in time.
    const NODES_PER_WATCHER: usize = 6;
    /// How long a node of another data centre may have a newer configuration before it is asked for
    /// it, which costs bytes between data centres. Most changes arrive earlier, from the store or
    /// from the same data centre.
    const REMOTE_FETCH_DELAY: Millis = Millis::new(600);
    /// The same for the first nodes of a data centre, from which the others then fetch it.
    const FIRST_REMOTE_FETCH_DELAY: Millis = Millis::new(200);
    /// The number of these nodes.
    const FIRST_REMOTE_FETCHERS: usize = 2;
    /// How long heartbeats carry all departures after another node has started.
    const NEWCOMER_TIME: Millis = Millis::new(3_000);
    /// The age of a change, in heartbeats of the node that changed, up to which it is passed on.
    const MAX_RELAYED_AGE: u64 = 12;
    /// The largest number of unknown kinds of routes that are reported of a configuration.
    const MAX_REPORTED_KINDS: usize = 8;

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        mut heartbeat: Heartbeat,
    ) {
        if heartbeat.entry.node == self.identity.entry.node {
            return;
        }
        let from = heartbeat.entry.heartbeats;
        let digest = heartbeat.digest.take();
        let confirmation = heartbeat.confirmation.take();
        let (node, start) = (heartbeat.entry.node.clone(), heartbeat.incarnation);
        // What they tell is kept with the rollouts.
        let rollouts = std::mem::take(&mut heartbeat.rollouts);
        let departures = std::mem::take(&mut heartbeat.departures);
        let evacuations = heartbeat.evacuations.take();
        let config_version = heartbeat.config_version;
        let is_newcomer = self.peers.is_newcomer(&heartbeat);
        if is_newcomer {
            self.newcomer_until = now + Self::NEWCOMER_TIME;
        }
        if !self.record_heartbeat(now, heartbeat, HeartbeatPath::Direct) {
            return;
        }
        for departure in departures {
            self.record_departure(now, wall, &departure);
        }
        for report in rollouts {
            self.handle_rollout_report(now, &node, start, &report);
        }
        for notice in evacuations.iter().flat_map(|digest| &digest.notices) {
            self.record_peer_evacuation(now, notice);
        }
        if let Some(confirmation) = confirmation {
            self.confirm_by_peer(now, config_version, confirmation);
        }
        if let Some(digest) = digest {
            self.handle_digest(now, from, *digest);
        }
        if is_newcomer {
            self.greet(now, from);
        }
        self.update_behind(now);
    }

    /// Records a heartbeat. Returns whether it is newer than the known one of its sender.
    fn record_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
        path: HeartbeatPath,
    ) -> bool {
        let node = heartbeat.entry.node.clone();
        let is_local = self.is_local(&heartbeat.entry);
        let is_leaving = heartbeat.is_leaving;
        let loses_store =
            !heartbeat.is_store_reached && self.leading_peer().as_ref() == Some(&node);
        // A node that has just started learns of many others, which its links know already.
        let is_recent = heartbeat.content_age() <= Self::MAX_RELAYED_AGE;
        let backend = heartbeat.backend.as_ref().map(|backend| backend.id.clone());
        let Some(is_new) = self.peers.record_heartbeat(now, heartbeat, path) else {
            return false;
        };
        if loses_store {
            self.freshness.doubt(now);
        }
        if is_new {
            self.are_peers_changed = true;
            if is_recent && self.peers.has_relays() {
                let is_gateway = self.targets.is_gateway(&self.peers);
                self.relays.add(&node, is_local && is_gateway);
            }
            self.report(FleetChange::Peer { node, is_leaving, backend });
        }
        true
    }

    /// Handles what the node at `from` passes on about other nodes.
    fn handle_digest(&mut self, now: Instant, from: SocketAddr, digest: NodeDigest) {
        for heartbeat in digest.changed {
            if heartbeat.entry.node == self.identity.entry.node {
                continue;
            }
            if self.peers.has_relays() {
                self.record_heartbeat(now, heartbeat, HeartbeatPath::PassedOn);
            } else if self.peers.get(&heartbeat.entry.node).is_none() {
                // Nodes that start at the same time don't find each other in the store.
                self.peers.add_listed(now, heartbeat.entry);
            }
        }
        for latest in &digest.latest {
            if latest.key != self.own_key && self.peers.record_latest(now, latest) {
                self.relays.want(latest.key, from);
            }
        }
        if !digest.wanted.is_empty() {
            self.answer_question(now, from, &digest.wanted);
        }
    }

    /// Updates whether another node has a newer configuration.
    fn update_behind(&mut self, now: Instant) {
        let was_behind = self.behind_since.is_some();
        if self.peers.newer_nodes(self.config_version()).next().is_none() {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        self.is_changed |= self.behind_since.is_some() != was_behind;
    }

    /// Puts `text` in force if its version is newer.
    pub(super) fn apply_config(&mut self, now: Instant, text: ConfigText, source: &'static str) {
        let (before, version) = (self.config_version(), text.config.version);
        if self.config.is_some() && version <= before {
            return;
        }
        let unknown_kinds = text.unknown_kinds.clone();
        let behind_for =
            self.behind_since.take().map_or(Micros::default(), |since| now.since(since));
        self.config = Some(text);
        self.partial_config = None;
        self.config_since = Some(now);
        self.freshness.forget_refused();
        self.report(FleetChange::ConfigInForce { version, before, source, behind_for });
        for kind in unknown_kinds.into_iter().take(Self::MAX_REPORTED_KINDS) {
            self.report(FleetChange::ConfigKindUnknown(kind));
        }
        self.mark_changed();
    }

    /// Serves part of a configuration with entries of unknown types, while there is no other one.
    pub(super) fn serve_part(&mut self, partial: PartialConfig) {
        let known = self.partial_config.as_ref().map(|config| config.version);
        if self.config.is_some() || known.is_some_and(|known| known >= partial.config.version) {
            return;
        }
        self.partial_config = Some(partial.config);
        for unknown in partial.unknown_types.into_iter().take(Self::MAX_REPORTED_KINDS) {
            self.report(FleetChange::ConfigTypeUnknown(unknown));
        }
        self.mark_changed();
    }

    pub(super) fn handle_peer_config(
        &mut self,
        now: Instant,
        from: SocketAddr,
        config: Option<ConfigText>,
        rng: &mut impl Rng,
    ) {
        let is_newer = |text: &ConfigText| {
            self.config.is_none() || text.config.version > self.config_version()
        };
        match config.filter(is_newer) {
            Some(text) => {
                self.config_fetches.clear();
                self.apply_config(now, text, "node");
            }
            // The node was busy, did not answer, or does not have the version that it announced.
            None => {
                if let Some((from, took)) = self.config_fetches.fail(now, from, rng) {
                    self.report(FleetChange::ConfigNotFetched { from, took });
                }
            }
        }
    }

    /// Asks a node with a newer configuration for it: one of the same data centre at once, unless
    /// this node watches the store itself, and any other after a delay. The node is chosen at
    /// random, so that those that have the configuration share the work of spreading it.
    pub(super) fn fetch_newer_config(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(since) = self.behind_since else { return };
        if !self.config_fetches.may_begin(now) {
            return;
        }
        let is_overdue = now.since(since) >= self.remote_fetch_delay().into();
        let may_fetch_local =
            is_overdue || self.operator_watcher.is_failing() || !self.is_watcher();
        if !may_fetch_local {
            return;
        }
        let version = self.config_version();
        let mut newer = self.peers.newer_nodes(version).map(|peer| &peer.entry).peekable();
        if newer.peek().is_none() {
            self.behind_since = None;
            self.is_changed = true;
            return;
        }
        let idle: Vec<&NodeEntry> =
            newer.filter(|entry| self.config_fetches.is_idle(entry)).collect();
        let local = idle.iter().filter(|entry| self.is_local(entry)).choose(rng);
        let any = idle.iter().filter(|_| is_overdue).choose(rng);
        if let Some(entry) = local.or(any) {
            self.config_fetches.begin(now, entry);
            self.actions.push(FleetAction::FetchConfig(entry.inbound));
        }
    }

    fn remote_fetch_delay(&self) -> Millis {
        if self.is_among_first(Self::FIRST_REMOTE_FETCHERS) {
            Self::FIRST_REMOTE_FETCH_DELAY
        } else {
            Self::REMOTE_FETCH_DELAY
        }
    }

    /// Returns whether this node watches the store for its data centre: it is among the first, by
    /// id, of the nodes that reach the store, or of all nodes while none reaches it. The others
    /// learn of changes from these, so that the requests to the store grow with the data centres
    /// and not with the nodes, also when a silent store responds again.
    pub(super) fn is_watcher(&self) -> bool {
        let local_nodes = self.peers.local_live_count() + 1;
        self.is_among_first(Self::MIN_WATCHERS.max(local_nodes / Self::NODES_PER_WATCHER))
    }

    /// Returns whether this node watches the entries of nodes. These are small, and other nodes
    /// hear of each other by heartbeats, so their watchers don't grow with the data centre.
    pub(super) fn is_entry_watcher(&self) -> bool {
        self.is_among_first(Self::MIN_WATCHERS)
    }

    /// Returns whether this node is among the first `count` of its data centre.
    fn is_among_first(&self, count: usize) -> bool {
        self.peers.local_ranked_before(&self.own_rank()).take(count).count() < count
    }

    /// Returns whether this node leads the watchers of all data centres that it hears of.
    pub(super) fn is_leader(&self) -> bool {
        !self.is_leaving && self.peers.ranked_before(&self.own_rank()).next().is_none()
    }

    /// Returns what this node does to follow the operator's keys.
    pub(super) fn store_role(&self) -> StoreRole {
        if self.is_leader() {
            StoreRole::Leader
        } else if self.is_watcher() {
            StoreRole::Watcher
        } else {
            StoreRole::Follower
        }
    }

    /// Returns the place of this node in the order in which nodes take over work.
    pub(super) fn own_rank(&self) -> Rank {
        Rank::new(self.store_contact.is_reached(), self.identity.entry.node.clone())
    }

    pub(super) fn is_local(&self, entry: &NodeEntry) -> bool {
        entry.data_centre == self.identity.entry.data_centre
    }
}
