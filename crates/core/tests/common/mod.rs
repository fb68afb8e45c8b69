//! Deterministic simulation of several `Control`s with a faulty network and store.

#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use almondsail_core::config::{Change, Config, HistoryEntry, ServerVersion, StopMark, check};
use almondsail_core::control::{
    Action, Control, ControlSettings, Event, PeerFailure, PeerMessage, RequestId, StateChange,
};
use almondsail_core::ids::{ConfigVersion, NodeId, WriteId};
use almondsail_core::peers::PeerStatus;
use almondsail_core::report::{HourKey, HourValue};
use almondsail_core::rollout::EvidenceReport;
use almondsail_core::store::{
    Outcome, Revision, StoreError, StoreReply, StoreRequest, StoredConfig, StoredHour, Submission,
};
use almondsail_core::units::{Instant, UnixMillis};
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two ticks of a node.
const TICK_MICROS: u64 = 100_000;
/// Wall-clock time, since the Unix epoch, at the simulated time 0.
const WALL_START_MILLIS: u64 = 1_700_000_000_000;
/// Time after which a watch ends without a change.
const WATCH_MICROS: u64 = 30_000_000;

/// Returns a quickcheck runner. `ALMONDSAIL_CASES` and `ALMONDSAIL_SEED` override its defaults.
pub fn checker(cases: u64) -> QuickCheck {
    almondsail_seeded::checker(cases, 12)
}

pub fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is a name"))
}

pub fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + index as u16))
}

pub fn node_id(index: usize) -> NodeId {
    name(&format!("n{index}"))
}

/// Returns the settings of node `index`. Nodes 0 and 1 are the seeds of all nodes.
pub fn settings(index: usize) -> ControlSettings {
    let builder = ControlSettings::builder()
        .node(node_id(index))
        .host(name(&format!("h{index}")))
        .data_centre(name(&format!("dc{}", index % 2)))
        .region(name("r1"))
        .peer_addr(addr(index))
        .inbound_addr(addr(index + 10_000))
        .seed(addr(0))
        .seed(addr(1));
    builder.build().expect("every setting is set")
}

pub fn submission(id: u64, change: Change) -> Submission {
    let mut bytes = [0; WriteId::BYTES];
    bytes[..8].copy_from_slice(&id.to_be_bytes());
    Submission {
        write_id: WriteId::new(bytes),
        operator: name("op"),
        team: None,
        base_version: None,
        change,
        dry_run: false,
    }
}

pub fn create_service(service: &str) -> Change {
    Change::CreateService { name: name(service), team: name("depots") }
}

pub fn create_version(service: &str, version: &str) -> Change {
    Change::CreateVersion(ServerVersion { service: name(service), version: name(version) })
}

pub fn stop_mark(service: &str, version: &str) -> StopMark {
    StopMark { service: name(service), version: name(version), route: None }
}

/// A store that holds every accepted configuration. The revision is their number.
#[derive(Default)]
pub struct FakeStore {
    /// Accepted configurations, oldest first.
    pub values: Vec<Arc<Config>>,
    pub down: bool,
    /// Percentage of requests whose reply is lost. Half of the affected writes take effect up
    /// to 2 s late.
    pub lost: u32,
    /// Additional percentage of writes whose reply is lost.
    pub lost_writes: u32,
    /// Percentage of reads that return a random older or current value.
    pub stale: u32,
    watches: Vec<(RequestOrigin, u64)>,
    /// Accounting sums of data centres and hours, each with its number of writes.
    pub hours: BTreeMap<HourKey, (u64, HourValue)>,
}

impl FakeStore {
    fn value(&self, revision: usize) -> StoreReply {
        let config = revision.checked_sub(1).and_then(|index| self.values.get(index)).cloned();
        StoreReply::Value(StoredConfig { revision: Revision::new(revision as u64), config })
    }

    fn hour(&self, key: &HourKey) -> StoreReply {
        let (revision, value) = self.hours.get(key).cloned().unzip();
        let revision = Revision::new(revision.unwrap_or_default());
        StoreReply::Hour(StoredHour { revision, value })
    }

    fn swap_hour(&mut self, key: HourKey, revision: Revision, value: &HourValue) -> StoreReply {
        let held = self.hours.get(&key).map_or(0, |(held, _)| *held);
        if revision.get() != held {
            return StoreReply::Failed(StoreError::Conflict);
        }
        self.hours.insert(key, (held + 1, value.clone()));
        StoreReply::Written(Revision::new(held + 1))
    }

    fn swap(&mut self, revision: Revision, config: &Arc<Config>) -> StoreReply {
        if revision.get() != self.values.len() as u64 {
            return StoreReply::Failed(StoreError::Conflict);
        }
        self.values.push(config.clone());
        StoreReply::Written(Revision::new(self.values.len() as u64))
    }

    /// Accepts a change that was not submitted through a node.
    pub fn accept_directly(&mut self, change: &Change, write_id: WriteId, wall: UnixMillis) {
        let current = self.values.last().map(|cfg| &**cfg);
        let content = current.map(|cfg| cfg.content.clone()).unwrap_or_default();
        let Ok(content) = change.apply(&content, wall) else { return };
        let entry = HistoryEntry {
            version: Config::next_version(current),
            write_id,
            at: wall,
            service: change.service().cloned(),
            operator: name("racer"),
            summary: change.to_string().into(),
        };
        self.values.push(Arc::new(Config::successor(current, content, entry)));
    }

    pub fn contains(&self, write_id: WriteId) -> bool {
        self.values.iter().any(|cfg| cfg.write_id == write_id)
    }
}

/// Node, epoch and id of a request that a node sent.
type RequestOrigin = (usize, u32, RequestId);

/// What happens at a time in the simulation.
enum Scheduled {
    Tick(usize, u32),
    Event(usize, u32, Event),
    /// A request arrives at a node.
    Request {
        from: RequestOrigin,
        to: usize,
        message: PeerMessage,
    },
    /// A reply arrives at the node that sent the request.
    Reply {
        from: usize,
        to: RequestOrigin,
        message: PeerMessage,
    },
    StoreRequest(RequestOrigin, StoreRequest),
    /// A write of the configuration takes effect after its reply was lost.
    LateSwap(Revision, Arc<Config>),
    /// A write of accounting sums takes effect after its reply was lost.
    LateHourSwap(HourKey, Revision, Arc<HourValue>),
}

/// A simulated node across its restarts.
#[derive(Default)]
pub struct SimNode {
    /// State of the running process; `None` while the node is stopped.
    pub control: Option<Control>,
    /// Number of starts and stops. Events for an earlier process are dropped.
    pub epoch: u32,
    paused_until: u64,
    /// Events that arrived during a pause.
    inbox: Vec<Event>,
    /// Unanswered requests of other nodes, by this process's id for them.
    open_requests: BTreeMap<RequestId, RequestOrigin>,
    /// Last version that any process of this node published.
    pub published: ConfigVersion,
    /// Node, epoch and the published version known to that node, as of this process's start.
    known_versions: Vec<(usize, u32, ConfigVersion)>,
    started_at: u64,
    /// Time at which this node was last stopped, paused or cut off.
    disturbed_at: u64,
    /// Nodes that this node declared dead.
    pub declared_dead: Vec<NodeId>,
    pub outcomes: BTreeMap<RequestId, Outcome>,
    /// Nodes that answered a join request of this process.
    welcomed_by: BTreeSet<usize>,
}

impl SimNode {
    pub fn resume(&mut self) {
        self.paused_until = 0;
    }
}

/// Simulated nodes, network and store.
pub struct Sim {
    /// Simulated time in microseconds.
    pub now: u64,
    pub rng: SmallRng,
    pub nodes: Vec<SimNode>,
    pub store: FakeStore,
    /// Percentage of messages that are lost.
    pub loss: u32,
    /// Percentage of requests that are duplicated.
    pub duplication: u32,
    /// Time at which a message was last lost.
    last_loss_at: u64,
    /// Largest delay of a message, in milliseconds. Messages can overtake each other.
    pub delay: u64,
    /// Nodes that a partition separates from the other nodes and from the store.
    pub partitioned: BTreeSet<usize>,
    /// Evidence reports that arrived, each with the receiving node.
    pub reports: Vec<(usize, EvidenceReport)>,
    /// Whether evidence reports are lost.
    pub loses_reports: bool,
    /// Scheduled items by time and number.
    queue: BTreeMap<(u64, u64), Scheduled>,
    /// Number used last for a request id or a scheduled item.
    last_number: u64,
}

impl Sim {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let mut sim = Self {
            now: 1_000_000,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|_| SimNode::default()).collect(),
            store: FakeStore::default(),
            loss: 0,
            last_loss_at: 0,
            duplication: 0,
            delay: 2,
            partitioned: BTreeSet::new(),
            reports: Vec::new(),
            loses_reports: false,
            queue: BTreeMap::new(),
            last_number: 0,
        };
        for index in 0..nodes {
            sim.start(index);
        }
        sim
    }

    pub fn wall(&self) -> UnixMillis {
        UnixMillis::new(WALL_START_MILLIS + self.now / 1_000)
    }

    pub fn control(&self, index: usize) -> &Control {
        self.nodes[index].control.as_ref().expect("the node runs")
    }

    /// Returns whether node `index` runs and is not paused.
    pub fn is_running(&self, index: usize) -> bool {
        let slot = &self.nodes[index];
        slot.control.is_some() && slot.paused_until <= self.now
    }

    pub fn published(&self, index: usize) -> ConfigVersion {
        self.control(index).status().published
    }

    pub fn newest(&self) -> ConfigVersion {
        self.store.values.last().map(|cfg| cfg.version).unwrap_or_default()
    }

    pub fn start(&mut self, index: usize) {
        let known_versions = self.known_versions(index);
        let control = Control::new(settings(index), Instant::new(self.now), self.wall());
        let now = self.now;
        let slot = &mut self.nodes[index];
        slot.control = Some(control);
        slot.epoch += 1;
        (slot.started_at, slot.paused_until, slot.known_versions) = (now, 0, known_versions);
        let tick = Scheduled::Tick(index, slot.epoch);
        let phase = self.rng.random_range(0..TICK_MICROS);
        self.schedule(self.now + phase, tick);
    }

    pub fn stop(&mut self, index: usize) {
        let slot = &mut self.nodes[index];
        slot.control = None;
        slot.epoch += 1;
        slot.inbox.clear();
        slot.welcomed_by.clear();
        slot.open_requests.clear();
        slot.disturbed_at = self.now;
    }

    pub fn pause(&mut self, index: usize, millis: u64) {
        let until = self.now + millis * 1_000;
        let slot = &mut self.nodes[index];
        slot.paused_until = until;
        slot.disturbed_at = until;
    }

    pub fn cut_off(&mut self, partitioned: BTreeSet<usize>) {
        for index in partitioned.union(&self.partitioned) {
            self.nodes[*index].disturbed_at = self.now;
        }
        self.partitioned = partitioned;
    }

    /// Passes an event to a node. A stopped node loses it, and a paused node gets it later.
    pub fn event(&mut self, index: usize, event: Event) {
        let slot = &mut self.nodes[index];
        if slot.control.is_none() {
            return;
        }
        if slot.paused_until > self.now {
            slot.inbox.push(event);
            return;
        }
        // After a pause, the timer may fire before the waiting messages are read.
        let is_tick = matches!(event, Event::Tick);
        let mut events = std::mem::take(&mut slot.inbox);
        events.insert(if is_tick { 0 } else { events.len() }, event);
        for event in events {
            let (now, wall) = (Instant::new(self.now), self.wall());
            let Some(control) = &mut self.nodes[index].control else { return };
            let actions = control.handle(now, wall, event, &mut self.rng);
            for action in actions {
                self.perform(index, action);
            }
        }
    }

    pub fn submit(&mut self, index: usize, submission: Submission) -> RequestId {
        self.last_number += 1;
        let id = RequestId::new(self.last_number);
        self.event(index, Event::Submit { id, submission });
        id
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), item) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(item);
        }
        self.now = end;
    }

    fn schedule(&mut self, time: u64, item: Scheduled) {
        self.last_number += 1;
        self.queue.insert((time, self.last_number), item);
    }

    fn deliver(&mut self, item: Scheduled) {
        match item {
            Scheduled::Tick(index, epoch) if self.nodes[index].epoch == epoch => {
                self.schedule(self.now + TICK_MICROS, Scheduled::Tick(index, epoch));
                if self.nodes[index].paused_until <= self.now {
                    self.event(index, Event::Tick);
                }
            }
            Scheduled::Event(index, epoch, event) if self.nodes[index].epoch == epoch => {
                self.event(index, event);
            }
            Scheduled::Request { from, to, message } => {
                if self.nodes[to].control.is_none() {
                    let reply = Err(PeerFailure::Unreachable);
                    return self.event_for(from, Event::PeerReply { id: from.2, reply });
                }
                if let PeerMessage::Evidence(report) = &message {
                    if self.loses_reports {
                        return;
                    }
                    self.reports.push((to, report.clone()));
                }
                self.last_number += 1;
                let id = RequestId::new(self.last_number);
                self.nodes[to].open_requests.insert(id, from);
                self.event(to, Event::PeerRequest { id, message });
            }
            Scheduled::Reply { from, to, message } if self.is_connected(from, to.0) => {
                let slot = &mut self.nodes[to.0];
                if slot.epoch == to.1 && matches!(message, PeerMessage::Welcome { .. }) {
                    slot.welcomed_by.insert(from);
                }
                self.event_for(to, Event::PeerReply { id: to.2, reply: Ok(message) });
            }
            Scheduled::StoreRequest(origin, request) => self.ask_store(origin, request),
            Scheduled::LateSwap(revision, config) => {
                self.store.swap(revision, &config);
                self.wake_watches();
            }
            Scheduled::LateHourSwap(key, revision, value) => {
                self.store.swap_hour(key, revision, &value);
            }
            Scheduled::Tick(..) | Scheduled::Event(..) | Scheduled::Reply { .. } => {}
        }
    }

    fn event_for(&mut self, (index, epoch, _): RequestOrigin, event: Event) {
        if self.nodes[index].epoch == epoch {
            self.event(index, event);
        }
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        self.partitioned.contains(&a) == self.partitioned.contains(&b)
    }

    fn chance(&mut self, of_100: u32) -> bool {
        self.rng.random_range(0..100) < of_100
    }

    fn drops_message(&mut self) -> bool {
        let is_lost = self.chance(self.loss);
        if is_lost {
            self.last_loss_at = self.now;
        }
        is_lost
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(100..=self.delay * 1_000)
    }

    fn perform(&mut self, index: usize, action: Action) {
        let epoch = self.nodes[index].epoch;
        match action {
            Action::Send { id, to, message, timeout } => {
                let from = (index, epoch, id);
                let to = usize::from(to.port()) - 7_000;
                let reply = Err(PeerFailure::Timeout);
                let late = Scheduled::Event(index, epoch, Event::PeerReply { id, reply });
                self.schedule(self.now + timeout.get() * 1_000, late);
                let copies = 1 + u32::from(self.chance(self.duplication));
                for _ in 0..copies {
                    if to < self.nodes.len()
                        && self.is_connected(index, to)
                        && !self.drops_message()
                    {
                        let at = self.now + self.latency();
                        let message = message.clone();
                        self.schedule(at, Scheduled::Request { from, to, message });
                    }
                }
            }
            Action::Reply { id, message } => {
                let to = self.nodes[index]
                    .open_requests
                    .remove(&id)
                    .expect("one reply for each request");
                if !self.drops_message() {
                    let at = self.now + self.latency();
                    self.schedule(at, Scheduled::Reply { from: index, to, message });
                }
            }
            Action::Store { id, request } => {
                let at = self.now + self.rng.random_range(500..5_000);
                self.schedule(at, Scheduled::StoreRequest((index, epoch, id), request));
            }
            Action::Submitted { id, outcome } => {
                let before = self.nodes[index].outcomes.insert(id, outcome);
                assert_eq!(before, None, "a submission has one outcome");
            }
            Action::Publish => self.check_published(index),
            Action::Report(StateChange::PeerStatusChanged(id, PeerStatus::Dead)) => {
                self.nodes[index].declared_dead.push(id);
            }
            Action::Report(_) => {}
        }
    }

    fn ask_store(&mut self, origin: RequestOrigin, request: StoreRequest) {
        if self.store.down || self.partitioned.contains(&origin.0) {
            let error = if self.chance(50) { StoreError::NoEffect } else { StoreError::Unknown };
            return self.store_reply(origin, 200, StoreReply::Failed(error));
        }
        let count = self.store.values.len();
        let read =
            if self.chance(self.store.stale) { self.rng.random_range(0..=count) } else { count };
        let (mut is_lost, is_late) = (self.chance(self.store.lost), self.chance(50));
        let is_write =
            matches!(request, StoreRequest::CompareAndSwap { .. } | StoreRequest::SwapHour { .. });
        if is_write {
            is_lost |= self.chance(self.store.lost_writes);
        }
        let reply = match request {
            StoreRequest::Read => self.store.value(read),
            StoreRequest::Watch(revision) if revision.get() == read as u64 => {
                self.store.watches.push((origin, self.now + WATCH_MICROS));
                let event = Event::StoreReply { id: origin.2, reply: StoreReply::Unchanged };
                return self.schedule(
                    self.now + WATCH_MICROS,
                    Scheduled::Event(origin.0, origin.1, event),
                );
            }
            StoreRequest::Watch(_) => self.store.value(read),
            StoreRequest::CompareAndSwap { revision, config } if is_lost && is_late => {
                let at = self.now + self.rng.random_range(0..2_000_000);
                self.schedule(at, Scheduled::LateSwap(revision, config));
                StoreReply::Unchanged
            }
            StoreRequest::CompareAndSwap { revision, config } => self.store.swap(revision, &config),
            StoreRequest::ReadHour(key) => self.store.hour(&key),
            StoreRequest::SwapHour { key, revision, value } if is_lost && is_late => {
                let at = self.now + self.rng.random_range(0..2_000_000);
                self.schedule(at, Scheduled::LateHourSwap(key, revision, value));
                StoreReply::Unchanged
            }
            StoreRequest::SwapHour { key, revision, value } => {
                self.store.swap_hour(key, revision, &value)
            }
        };
        if is_lost {
            self.store_reply(origin, 300, StoreReply::Failed(StoreError::Unknown));
        } else {
            self.store_reply(origin, 2, reply);
        }
        self.wake_watches();
    }

    /// Answers every open watch with the newest value, unless the store is down.
    pub fn wake_watches(&mut self) {
        let count = self.store.values.len();
        if self.store.watches.is_empty() || self.store.down {
            return;
        }
        for (origin, _) in std::mem::take(&mut self.store.watches) {
            let value = self.store.value(count);
            self.store_reply(origin, 2, value);
        }
    }

    fn store_reply(&mut self, (index, epoch, id): RequestOrigin, millis: u64, reply: StoreReply) {
        let event = Event::StoreReply { id, reply };
        self.schedule(self.now + millis * 1_000, Scheduled::Event(index, epoch, event));
    }

    /// Checks the configuration that node `index` publishes to traffic.
    fn check_published(&mut self, index: usize) {
        let Some(config) = self.control(index).snapshot().config else { return };
        assert_eq!(check(&config.content), Ok(()), "node {index} published an invalid version");
        let accepted = self.store.values.iter().find(|cfg| cfg.version == config.version);
        assert_eq!(accepted, Some(&config), "node {index} published what was not accepted");
        let floor = self.known_floor(index);
        assert!(
            config.version >= floor,
            "node {index} published {} after {floor} at {}us",
            config.version,
            self.now
        );
        let slot = &mut self.nodes[index];
        slot.published = config.version;
        slot.known_versions = vec![(index, slot.epoch, config.version)];
    }

    /// Returns the published version of node `index` as far as each other node knows it, when
    /// node `index` starts.
    fn known_versions(&self, index: usize) -> Vec<(usize, u32, ConfigVersion)> {
        let last = self.nodes[index].published;
        let known = |other: usize| {
            let slot = &self.nodes[other];
            let control = slot.control.as_ref().filter(|_| other != index)?;
            let id = node_id(index);
            let noted = control.peer_versions().find(|(node, _)| **node == id);
            let highest = noted.map(|(_, version)| version.highest).unwrap_or_default();
            Some((other, slot.epoch, highest.max(control.status().held).min(last)))
        };
        (0..self.nodes.len()).filter_map(known).collect()
    }

    /// Returns the highest version that node `index` published, as known to the nodes that
    /// answered its join requests or could be reached without loss since its start.
    fn known_floor(&self, index: usize) -> ConfigVersion {
        let own = &self.nodes[index];
        let was_in_reach = |other: usize| {
            let is_undisturbed = self.nodes[other].disturbed_at < own.started_at
                && own.disturbed_at < own.started_at;
            is_undisturbed && self.last_loss_at < own.started_at && self.is_connected(index, other)
        };
        let is_known = |(other, epoch, _): &&(usize, u32, ConfigVersion)| {
            let has_been_reached = own.welcomed_by.contains(other) || was_in_reach(*other);
            *other == index || self.nodes[*other].epoch == *epoch && has_been_reached
        };
        own.known_versions
            .iter()
            .filter(is_known)
            .map(|(.., version)| *version)
            .max()
            .unwrap_or_default()
    }
}
