//! The control state of a node of a fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::lease_keeper::LeaseKeeper;
use crate::fleet::{
    AnnouncedState, Announcement, BackendStatus, BeatOutcome, ConfigText, Departure, FleetAction,
    FleetEvent, FleetIdentity, FleetNews, FleetView, Heartbeat, KeySpace, PeerDirectory,
    Registration, RemoteDoor, Rollout, ServiceDoors, StoreFeed, StoreRequest, VersionRule,
};
use crate::ids::{BackendId, ConfigVersion, NodeId, ServiceName};
use crate::units::{Instant, Micros, Millis, UnixMillis};

/// The control state of a node of a fleet.
///
/// It follows the store and hears the other nodes, and is right with either alone: the newest
/// configuration seen by any path is in force, and none with a lower version follows it.
#[derive(Debug)]
pub struct FleetControl {
    pub(super) identity: FleetIdentity,
    /// Its version only rises.
    pub(super) config: Option<ConfigText>,
    pub(super) registration: Registration,
    pub(super) peers: PeerDirectory,
    pub(super) rollouts: BTreeMap<ServiceName, Rollout>,
    pub(super) lease: LeaseKeeper,
    pub(super) operator_feed: StoreFeed,
    pub(super) nodes_feed: StoreFeed,
    pub(super) pending: BTreeMap<u64, Purpose>,
    pub(super) next_request: u64,
    pub(super) is_store_reached: bool,
    pub(super) actions: Vec<FleetAction>,
    sequence: u64,
    next_heartbeat: Instant,
    next_far_heartbeat: Instant,
    /// A node has started lately that must be told what others remember.
    newcomer_until: Instant,
    is_leaving: bool,
    /// Calls see something new.
    pub(super) is_changed: bool,
    /// Other nodes must hear something new at once.
    pub(super) is_news: bool,
    /// Since when another node has a newer configuration.
    behind_since: Option<Instant>,
    /// A configuration was asked for and may come until then.
    fetching_until: Instant,
    /// Whether the node was ready and had recalled, as calls see it.
    started: (bool, bool),
    /// The nodes that were heard lately, as calls see them.
    alive: BTreeSet<NodeId>,
}

/// What a request to the store was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    Feed(KeySpace),
    Lease,
    Rollout(ServiceName),
}

impl FleetControl {
    /// Time between two heartbeats to nodes of the same data centre.
    const HEARTBEAT: Millis = Millis::new(300);
    /// The same to nodes of other data centres, where bytes are dear. News go at once.
    const FAR_HEARTBEAT: Millis = Millis::new(1_000);
    /// The nodes of a data centre that watch the store, at the least. A second one covers the
    /// time until a dead or frozen first one is noticed.
    const WATCHERS: usize = 2;
    /// One more node of this many watches: a configuration of a megabyte takes a slow link most
    /// of a second, so one node can pass it on to few others in time.
    const NODES_EACH_WATCHER: usize = 6;
    /// How long a node of another data centre may have a newer configuration before it is
    /// asked for it, which costs bytes between data centres. Most changes come earlier, by the
    /// store or from the same data centre.
    const BEHIND: Millis = Millis::new(600);
    /// How long a node that has started is told everything that others remember.
    const NEWCOMER: Millis = Millis::new(3_000);
    /// How long a node that has started, and does not reach the store, waits for what others
    /// remember of the backend server beside it, before it sends calls there.
    const RECALL: Millis = Millis::new(450);
    /// How long an answer with a configuration may take.
    const FETCH: Millis = Millis::new(1_900);
    /// Without the store, a node serves with what other nodes have from this time on.
    const PEERS_ONLY: Millis = Millis::new(700);

    /// The state of a node that starts at `now`.
    pub fn new(identity: FleetIdentity, now: Instant) -> Self {
        let lease = LeaseKeeper::new(identity.entry.clone());
        Self {
            peers: PeerDirectory::new(identity.entry.data_centre.clone()),
            identity,
            config: None,
            registration: Registration::default(),
            rollouts: BTreeMap::new(),
            lease,
            operator_feed: StoreFeed::new(KeySpace::Operator),
            nodes_feed: StoreFeed::new(KeySpace::Nodes),
            pending: BTreeMap::new(),
            next_request: 0,
            is_store_reached: true,
            actions: Vec::new(),
            sequence: 0,
            next_heartbeat: now,
            next_far_heartbeat: now,
            newcomer_until: now,
            is_leaving: false,
            is_changed: false,
            is_news: false,
            behind_since: None,
            fetching_until: now,
            started: (false, false),
            alive: BTreeSet::new(),
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        event: FleetEvent,
        rng: &mut impl Rng,
    ) -> Vec<FleetAction> {
        match event {
            FleetEvent::Tick => self.tick(now),
            FleetEvent::Store { id, reply } => self.store_reply(now, wall, id, reply, rng),
            FleetEvent::Heartbeat(heartbeat) => self.heard(now, heartbeat),
            FleetEvent::PeerConfig(config) => self.peer_config(now, config),
            FleetEvent::Announced(announcement) => self.announced(now, &announcement),
            FleetEvent::Left(id, born) => self.left(now, &id, born),
            FleetEvent::Answered(route, took) => {
                self.own_rollout(|rollout| rollout.answered(route, took));
            }
            FleetEvent::Failed(route) => self.own_rollout(|rollout| rollout.failed(route)),
            FleetEvent::StopRequested => {
                self.is_leaving = true;
                self.changed();
            }
        }
        self.drive_rollouts(now, wall);
        self.send_due_requests(now);
        self.fetch_newer_config(now, rng);
        self.send_heartbeat(now, rng);
        if std::mem::take(&mut self.is_changed) {
            self.actions.push(FleetAction::Publish);
        }
        std::mem::take(&mut self.actions)
    }

    /// The configuration in force with its text.
    pub const fn config(&self) -> Option<&ConfigText> {
        self.config.as_ref()
    }

    /// Whether the node can serve: it knows the configuration, and that none newer was
    /// accepted before it started, as far as the store or the other nodes can tell.
    pub fn is_ready(&self, now: Instant) -> bool {
        let has_listed = self.operator_feed.is_listed() && self.nodes_feed.is_listed();
        let has_peers = now > Instant::new(0) + Self::PEERS_ONLY;
        self.config.is_some() && (has_listed || has_peers) && !self.is_leaving
    }

    /// What calls see.
    pub fn view(&self, now: Instant) -> FleetView {
        let backend = self.backend(now).cloned();
        let config = self.config.as_ref().map(|text| Arc::clone(&text.config));
        let service = backend.as_ref().map(|backend| &backend.service);
        let settings =
            |cfg: &crate::fleet::MeshConfig| service.and_then(|s| cfg.services.get(s).copied());
        let connections = config.as_deref().and_then(settings).map_or(0, |s| s.connections);
        let wants_evidence = service
            .and_then(|service| self.rollouts.get(service))
            .is_some_and(|rollout| rollout.is_running());
        FleetView {
            node: self.identity.entry.node.clone(),
            data_centre: self.identity.entry.data_centre.clone(),
            config: config.filter(|_| self.is_ready(now) || self.is_leaving),
            services: self.services(now),
            backend,
            connections,
            is_leaving: self.is_leaving,
            nodes: u32::try_from(self.alive.len()).unwrap_or(u32::MAX) + 1,
            wants_evidence,
        }
    }

    /// The backend server beside this node, once others had time to tell that it has left.
    fn backend(&self, now: Instant) -> Option<&BackendStatus> {
        self.registration.backend().filter(|_| self.has_recalled(now))
    }

    /// Whether the node knows what was remembered before it started, by the store or because
    /// the other nodes had time to tell.
    fn has_recalled(&self, now: Instant) -> bool {
        self.nodes_feed.is_listed() || now >= Instant::new(0) + Self::RECALL
    }

    fn tick(&mut self, now: Instant) {
        self.peers.tick(now);
        if self.registration.tick(now) {
            if self.registration.backend().is_none() {
                self.report(FleetNews::BackendExpired);
            }
            self.changed();
        }
        let alive: BTreeSet<NodeId> =
            self.peers.alive(now).map(|peer| peer.entry.node.clone()).collect();
        let started = (self.is_ready(now), self.has_recalled(now));
        if alive != self.alive {
            self.alive = alive;
            self.is_changed = true;
        }
        if started != self.started {
            self.started = started;
            self.changed();
        }
    }

    fn heard(&mut self, now: Instant, heartbeat: Heartbeat) {
        if heartbeat.entry.node == self.identity.entry.node {
            return;
        }
        let version = heartbeat.config_version;
        let rollouts = heartbeat.rollouts.clone();
        let departures = heartbeat.departures.clone();
        let news = FleetNews::Peer {
            node: heartbeat.entry.node.clone(),
            is_leaving: heartbeat.is_leaving,
            backend: heartbeat.backend.as_ref().map(|backend| backend.id.clone()),
        };
        let is_newcomer = self.peers.is_newcomer(&heartbeat);
        if is_newcomer {
            self.newcomer_until = now + Self::NEWCOMER;
        }
        match self.peers.heard(now, heartbeat) {
            None => return,
            Some(false) => {}
            Some(true) => {
                self.is_changed = true;
                self.report(news);
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
            self.departed(now, &departure);
        }
        for report in rollouts {
            self.heard_rollout(now, &report);
        }
    }

    fn announced(&mut self, now: Instant, announcement: &Announcement) {
        let id = announcement.id.clone();
        let outcome = if self.is_ours(announcement) {
            self.registration.announce(now, announcement)
        } else {
            BeatOutcome::Outdated
        };
        if announcement.state == AnnouncedState::Draining && outcome != BeatOutcome::Outdated {
            let born = Some(announcement.born);
            self.lease.departed(now, Departure { id: id.clone(), born });
        }
        self.backend_said(id, "announced itself", outcome);
    }

    /// Whether an announcement can come from the server beside this node.
    fn is_ours(&self, announcement: &Announcement) -> bool {
        let is_known = |text: &ConfigText| text.config.services.contains_key(&announcement.service);
        announcement.address == self.identity.backend
            && (announcement.service == self.identity.service
                || self.config.as_ref().is_some_and(is_known))
    }

    fn left(&mut self, now: Instant, id: &BackendId, born: Option<UnixMillis>) {
        let outcome = self.registration.leave(now, id, born);
        self.lease.departed(now, Departure { id: id.clone(), born });
        self.is_news = true;
        self.backend_said(id.clone(), "leaves", outcome);
    }

    /// Learns from elsewhere that a backend server has left.
    pub(super) fn departed(&mut self, now: Instant, departure: &Departure) {
        if self.registration.depart(now, departure) == BeatOutcome::Changed {
            self.changed();
        }
    }

    fn backend_said(&mut self, id: BackendId, said: &'static str, outcome: BeatOutcome) {
        match outcome {
            BeatOutcome::Renewed => return,
            BeatOutcome::Changed => self.changed(),
            BeatOutcome::Outdated => {}
        }
        self.report(FleetNews::Backend { id, said, outcome });
    }

    /// Puts `text` in force if it is newer.
    pub(super) fn take_config(&mut self, text: ConfigText, source: &'static str) {
        let (before, version) = (self.config_version(), text.config.version);
        if self.config.is_some() && version <= before {
            return;
        }
        self.config = Some(text);
        self.behind_since = None;
        self.report(FleetNews::ConfigInForce { version, before, source });
        self.changed();
    }

    fn peer_config(&mut self, now: Instant, config: Option<ConfigText>) {
        self.fetching_until = now;
        if let Some(text) = config {
            self.take_config(text, "node");
        }
    }

    /// Asks a node with a newer configuration for it: one of the same data centre at once,
    /// unless this node watches the store itself, and any other after a while. Which one is
    /// drawn, so that those who have it share the work and pass it on like a tree.
    fn fetch_newer_config(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(since) = self.behind_since else { return };
        if now < self.fetching_until {
            return;
        }
        let is_long = now.since(since) >= Self::BEHIND.into();
        let may_near = is_long || self.operator_feed.is_failing() || !self.is_watcher(now);
        let newer = self.newer_nodes(now);
        if newer.is_empty() {
            self.behind_since = None;
            return;
        }
        let near = newer.iter().filter(|entry| may_near && self.is_near(entry)).choose(rng);
        let any = newer.iter().filter(|_| is_long).choose(rng);
        if let Some(entry) = near.or(any) {
            self.fetching_until = now + Self::FETCH;
            self.actions.push(FleetAction::FetchConfig(entry.door));
        }
    }

    /// The nodes that have a newer configuration.
    fn newer_nodes(&self, now: Instant) -> Vec<crate::fleet::NodeEntry> {
        let own = self.config_version();
        let alive = self.peers.alive(now).filter_map(|peer| peer.heartbeat.as_ref());
        let newer = alive.filter(|heartbeat| heartbeat.config_version > own);
        newer.map(|heartbeat| heartbeat.entry.clone()).collect()
    }

    /// Whether this node watches the store for its data centre: it is one of the first, by
    /// id, of the nodes that reach the store. The others hear of changes from these, so that
    /// the calls to the store grow with the data centres and not with the nodes.
    fn is_watcher(&self, now: Instant) -> bool {
        let own = &self.identity.entry.node;
        let reaches = |heartbeat: &Heartbeat| heartbeat.is_store_reached && !heartbeat.is_leaving;
        let before = self.peers.alive(now).filter(|peer| {
            peer.is_near && peer.entry.node < *own && peer.heartbeat.as_ref().is_some_and(reaches)
        });
        let near = self.peers.alive(now).filter(|peer| peer.is_near).count() + 1;
        before.count() < Self::WATCHERS.max(near / Self::NODES_EACH_WATCHER)
    }

    fn is_near(&self, entry: &crate::fleet::NodeEntry) -> bool {
        entry.data_centre == self.identity.entry.data_centre
    }

    fn send_due_requests(&mut self, now: Instant) {
        let is_watcher = self.is_watcher(now);
        self.operator_feed.set_watching(is_watcher);
        self.nodes_feed.set_watching(is_watcher);
        for space in [KeySpace::Operator, KeySpace::Nodes] {
            if !self.is_pending(&Purpose::Feed(space))
                && let Some(request) = self.feed(space).request(now)
            {
                self.request(Purpose::Feed(space), request);
            }
        }
        // What the entry of an earlier start tells must be read before it is replaced.
        let may_write = !self.is_leaving && self.has_recalled(now);
        if may_write
            && !self.is_pending(&Purpose::Lease)
            && let Some(request) = self.lease.request(now)
        {
            self.request(Purpose::Lease, request);
        }
    }

    pub(super) const fn feed(&mut self, space: KeySpace) -> &mut StoreFeed {
        match space {
            KeySpace::Operator => &mut self.operator_feed,
            KeySpace::Nodes => &mut self.nodes_feed,
        }
    }

    pub(super) fn is_pending(&self, purpose: &Purpose) -> bool {
        self.pending.values().any(|pending| pending == purpose)
    }

    pub(super) fn request(&mut self, purpose: Purpose, request: StoreRequest) {
        let id = self.next_request;
        self.next_request += 1;
        self.pending.insert(id, purpose);
        self.actions.push(FleetAction::Store { id, request });
    }

    fn send_heartbeat(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_news = std::mem::take(&mut self.is_news);
        let mut to: Vec<SocketAddr> = Vec::new();
        if is_news || now >= self.next_heartbeat {
            self.next_heartbeat = next_time(now, Self::HEARTBEAT, rng);
            to.extend(self.peers.addresses(true));
        }
        if is_news || now >= self.next_far_heartbeat {
            self.next_far_heartbeat = next_time(now, Self::FAR_HEARTBEAT, rng);
            to.extend(self.peers.addresses(false));
        }
        if !to.is_empty() {
            let heartbeat = Box::new(self.heartbeat(now));
            self.actions.push(FleetAction::Heartbeat(heartbeat, to));
        }
    }

    fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            config_version: self.config_version(),
            is_store_reached: self.is_store_reached,
            is_leaving: self.is_leaving,
            backend: self.backend(now).cloned(),
            departures: self.registration.departures(now, now < self.newcomer_until),
            rollouts: self.rollouts.values().map(|rollout| rollout.report(now)).collect(),
        }
    }

    pub(super) fn config_version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion::default(), |text| text.config.version)
    }

    /// Calls and other nodes must learn of a change.
    pub(super) const fn changed(&mut self) {
        self.is_changed = true;
        self.is_news = true;
    }

    pub(super) fn report(&mut self, news: FleetNews) {
        self.actions.push(FleetAction::Report(news));
    }

    /// The backend servers that are known, with the nodes beside them.
    pub(super) fn backends(&self, now: Instant) -> Vec<KnownBackend<'_>> {
        let own = self.backend(now).filter(|_| !self.is_leaving);
        let own = own.map(|status| KnownBackend {
            entry: &self.identity.entry,
            status,
            is_silent: false,
        });
        let others = self.peers.iter().filter_map(|peer| {
            let heartbeat = peer.heartbeat.as_ref().filter(|heartbeat| !heartbeat.is_leaving)?;
            let status = heartbeat.backend.as_ref()?;
            Some(KnownBackend { entry: &peer.entry, status, is_silent: peer.is_silent(now) })
        });
        own.into_iter().chain(others).collect()
    }

    fn services(&self, now: Instant) -> HashMap<ServiceName, ServiceDoors> {
        let mut by_service: HashMap<&ServiceName, Vec<KnownBackend<'_>>> = HashMap::new();
        for known in self.backends(now) {
            by_service.entry(&known.status.service).or_default().push(known);
        }
        let doors = |(service, known): (&ServiceName, Vec<KnownBackend<'_>>)| {
            let rule = self.rule(service, &known);
            let doors = known.iter().map(KnownBackend::door).collect();
            (service.clone(), ServiceDoors { doors, rule })
        };
        by_service.into_iter().map(doors).collect()
    }

    /// Which versions of `service` may take calls. Without an order, a second version that
    /// appears is not trusted: calls stay with the version of the oldest server.
    fn rule(&self, service: &ServiceName, known: &[KnownBackend<'_>]) -> VersionRule {
        if let Some(rollout) = self.rollouts.get(service) {
            return rollout.rule();
        }
        let oldest = known.iter().map(|known| known.status).min_by_key(|status| status.born);
        match oldest {
            Some(oldest) if known.iter().any(|k| k.status.version != oldest.version) => {
                VersionRule::Only(oldest.version.clone())
            }
            _ => VersionRule::Any,
        }
    }
}

/// The time after `now` and `period`, up to a tenth earlier, so that nodes don't beat together.
fn next_time(now: Instant, period: Millis, rng: &mut impl Rng) -> Instant {
    let period = Micros::from(period).get();
    now + Micros::new(rng.random_range(period * 9 / 10..=period))
}

/// A backend server with the node beside it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownBackend<'a> {
    pub(super) entry: &'a crate::fleet::NodeEntry,
    pub(super) status: &'a BackendStatus,
    pub(super) is_silent: bool,
}

impl KnownBackend<'_> {
    fn door(&self) -> RemoteDoor {
        RemoteDoor {
            node: self.entry.node.clone(),
            address: self.entry.door,
            data_centre: self.entry.data_centre.clone(),
            backend: self.status.id.clone(),
            version: self.status.version.clone(),
            slots: self.status.slots,
            is_cold: self.status.is_cold,
            is_silent: self.is_silent,
        }
    }
}
