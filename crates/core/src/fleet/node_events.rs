//! Handles heartbeats of other nodes and fetches newer configurations from them.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::fleet_control::FleetControl;
use super::peer_directory::Peer;
use crate::fleet::{ConfigText, FleetAction, FleetChange, Heartbeat};
use crate::units::{Instant, Micros, Millis, UnixMillis};

impl FleetControl {
    /// The time between two heartbeats to nodes of the same data centre.
    const HEARTBEAT_INTERVAL: Millis = Millis::new(300);
    /// The time between two heartbeats to nodes of other data centres, where bytes are expensive.
    /// Changes are sent at once.
    const REMOTE_HEARTBEAT_INTERVAL: Millis = Millis::new(1_000);
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
    /// How long heartbeats carry all departures after another node has started.
    const NEWCOMER_TIME: Millis = Millis::new(3_000);
    /// The largest number of unknown kinds of routes that are reported of a configuration.
    const MAX_REPORTED_KINDS: usize = 8;

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        heartbeat: Heartbeat,
    ) {
        if heartbeat.entry.node == self.identity.entry.node {
            return;
        }
        let version = heartbeat.config_version;
        let rollouts = heartbeat.rollouts.clone();
        let departures = heartbeat.departures.clone();
        let change = FleetChange::Peer {
            node: heartbeat.entry.node.clone(),
            is_leaving: heartbeat.is_leaving,
            backend: heartbeat.backend.as_ref().map(|backend| backend.id.clone()),
        };
        let is_newcomer = self.peers.is_newcomer(&heartbeat);
        if is_newcomer {
            self.newcomer_until = now + Self::NEWCOMER_TIME;
        }
        match self.peers.record_heartbeat(now, heartbeat) {
            None => return,
            Some(false) => {}
            Some(true) => {
                self.is_changed = true;
                self.report(change);
            }
        }
        if version <= self.config_version() {
            let newest = self.peers.alive(now).filter_map(|peer| peer.heartbeat.as_ref());
            if newest.map(|heartbeat| heartbeat.config_version).max() <= Some(self.config_version())
            {
                self.behind_since = None;
            }
        } else {
            self.behind_since.get_or_insert(now);
        }
        for departure in departures {
            self.record_departure(now, wall, &departure);
        }
        for report in rollouts {
            self.handle_rollout_report(now, &report);
        }
    }

    /// Puts `text` in force if its version is newer.
    pub(super) fn apply_config(&mut self, now: Instant, text: ConfigText, source: &'static str) {
        let (before, version) = (self.config_version(), text.config.version);
        if self.config.is_some() && version <= before {
            return;
        }
        let unknown_kinds = text.unknown_kinds.clone();
        self.config = Some(text);
        self.config_since = Some(now);
        self.behind_since = None;
        self.report(FleetChange::ConfigInForce { version, before, source });
        for kind in unknown_kinds.into_iter().take(Self::MAX_REPORTED_KINDS) {
            self.report(FleetChange::ConfigKindUnknown(kind));
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
        let is_overdue = now.since(since) >= Self::REMOTE_FETCH_DELAY.into();
        let may_fetch_local =
            is_overdue || self.operator_watcher.is_failing() || !self.is_watcher(now);
        let mut newer = self.newer_nodes(now);
        if newer.is_empty() {
            self.behind_since = None;
            return;
        }
        newer.retain(|entry| self.config_fetches.is_idle(entry));
        let local =
            newer.iter().filter(|entry| may_fetch_local && self.is_local(entry)).choose(rng);
        let any = newer.iter().filter(|_| is_overdue).choose(rng);
        if let Some(entry) = local.or(any) {
            self.config_fetches.begin(now, entry);
            self.actions.push(FleetAction::FetchConfig(entry.inbound));
        }
    }

    /// Returns the nodes that have a newer configuration.
    pub(super) fn newer_nodes(&self, now: Instant) -> Vec<crate::fleet::NodeEntry> {
        let own_version = self.config_version();
        let alive = self.peers.alive(now).filter_map(|peer| peer.heartbeat.as_ref());
        let newer = alive.filter(|heartbeat| heartbeat.config_version > own_version);
        newer.map(|heartbeat| heartbeat.entry.clone()).collect()
    }

    /// Returns whether this node watches the store for its data centre: it is among the first, by
    /// id, of the nodes that reach the store, or of all nodes while none reaches it. The others
    /// learn of changes from these, so that the requests to the store grow with the data centres
    /// and not with the nodes, also when a silent store responds again.
    pub(super) fn is_watcher(&self, now: Instant) -> bool {
        let before = self.nodes_before(now).filter(|peer| peer.is_local);
        let local_nodes = self.peers.alive(now).filter(|peer| peer.is_local).count() + 1;
        before.count() < Self::MIN_WATCHERS.max(local_nodes / Self::NODES_PER_WATCHER)
    }

    /// Returns whether this node leads the watchers of all data centres that it hears of.
    pub(super) fn is_leader(&self, now: Instant) -> bool {
        !self.is_leaving && self.nodes_before(now).next().is_none()
    }

    /// Returns the live nodes that precede this one: those that reach the store come first, by id.
    fn nodes_before(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let own_rank = (!self.store_contact.is_reached(), &self.identity.entry.node);
        let is_before = move |heartbeat: &Heartbeat| {
            let rank = (!heartbeat.is_store_reached, &heartbeat.entry.node);
            !heartbeat.is_leaving && rank < own_rank
        };
        let alive = self.peers.alive(now);
        alive.filter(move |peer| peer.heartbeat.as_ref().is_some_and(&is_before))
    }

    pub(super) fn is_local(&self, entry: &crate::fleet::NodeEntry) -> bool {
        entry.data_centre == self.identity.entry.data_centre
    }

    pub(super) fn send_heartbeat(&mut self, now: Instant, rng: &mut impl Rng) {
        let has_update = std::mem::take(&mut self.has_update);
        let mut addresses: Vec<SocketAddr> = Vec::new();
        if has_update || now >= self.next_heartbeat {
            self.next_heartbeat = next_heartbeat_time(now, Self::HEARTBEAT_INTERVAL, rng);
            addresses.extend(self.peers.addresses(true));
        }
        if has_update || now >= self.next_remote_heartbeat {
            self.next_remote_heartbeat =
                next_heartbeat_time(now, Self::REMOTE_HEARTBEAT_INTERVAL, rng);
            addresses.extend(self.peers.addresses(false));
        }
        if !addresses.is_empty() {
            let heartbeat = Box::new(self.heartbeat(now));
            self.actions.push(FleetAction::Heartbeat(heartbeat, addresses));
        }
    }

    pub(super) fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            config_version: self.config_version(),
            is_store_reached: self.store_contact.is_reached(),
            is_leaving: self.is_leaving,
            backend: self.backend(now).cloned(),
            departures: self.registration.departures(now, now < self.newcomer_until),
            rollouts: self.rollouts.values().map(|rollout| rollout.report(now)).collect(),
        }
    }
}

/// Returns the time of the next heartbeat, up to a tenth of `period` early, so that nodes don't
/// send in step.
fn next_heartbeat_time(now: Instant, period: Millis, rng: &mut impl Rng) -> Instant {
    let period = Micros::from(period).get();
    now + Micros::new(rng.random_range(period * 9 / 10..=period))
}
