//! Several `Control`s on a deterministic clock, network and store with faults.

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

const TICK_MICROS: u64 = 100_000;
const WALL_START_MILLIS: u64 = 1_700_000_000_000;
const WATCH_MICROS: u64 = 30_000_000;

/// A quickcheck runner; `ALMONDSAIL_CASES` and `ALMONDSAIL_SEED` override the defaults.
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

/// The settings of node `index`; nodes 0 and 1 are the seeds of all.
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
        base: None,
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

/// The store: accepted configurations in order; the revision is their number.
#[derive(Default)]
pub struct FakeStore {
    pub values: Vec<Arc<Config>>,
    pub down: bool,
    /// Of 100 requests: answers lost after the effect, and effects after the answer was given up.
    pub lost: u32,
    /// Of 100 writes: answers lost besides those.
    pub lost_writes: u32,
    /// Of 100 reads: answered with an older value.
    pub stale: u32,
    watches: Vec<(RequestOrigin, u64)>,
    /// The sums of data centres and hours, each with the number of its writes.
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

    /// A write by an operator that uses no node.
    pub fn race(&mut self, change: &Change, write_id: WriteId, wall: UnixMillis) {
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
        self.values.push(Arc::new(Config::following(current, content, entry)));
    }

    pub fn contains(&self, write_id: WriteId) -> bool {
        self.values.iter().any(|cfg| cfg.write_id == write_id)
    }
}

/// A process of a node, and one of its requests.
type RequestOrigin = (usize, u32, RequestId);

enum Scheduled {
    Tick(usize, u32),
    Event(usize, u32, Event),
    /// A request or reply on its way to a node.
    Request {
        from: RequestOrigin,
        to: usize,
        message: PeerMessage,
    },
    Reply {
        from: usize,
        to: RequestOrigin,
        message: PeerMessage,
    },
    StoreRequest(RequestOrigin, StoreRequest),
    LateSwap(Revision, Arc<Config>),
    LateHourSwap(HourKey, Revision, Arc<HourValue>),
}

#[derive(Default)]
pub struct Slot {
    pub control: Option<Control>,
    /// Counts the starts. What belongs to an earlier process is dropped.
    pub epoch: u32,
    paused_until: u64,
    inbox: Vec<Event>,
    /// The requests of others in hand, by this process's id for them.
    open: BTreeMap<RequestId, RequestOrigin>,
    /// The last version that this node published, in any of its processes.
    pub published: ConfigVersion,
    /// What others knew of the published version when this process started.
    known_versions: Vec<(usize, u32, ConfigVersion)>,
    started_at: u64,
    /// When this node was last paused or cut off.
    disturbed_at: u64,
    pub deaths: Vec<NodeId>,
    pub outcomes: BTreeMap<RequestId, Outcome>,
    /// The nodes that answered a join of this process.
    welcomed_by: BTreeSet<usize>,
}

impl Slot {
    pub fn resume(&mut self) {
        self.paused_until = 0;
    }
}

pub struct Sim {
    pub now: u64,
    pub rng: SmallRng,
    pub nodes: Vec<Slot>,
    pub store: FakeStore,
    /// Of 100 messages: lost, doubled.
    pub loss: u32,
    pub doubling: u32,
    /// When a message was lost last.
    last_loss_at: u64,
    /// The longest delay of a message, in milliseconds; messages overtake each other.
    pub delay: u64,
    /// The nodes on the far side of a partition, without the store.
    pub far: BTreeSet<usize>,
    /// The reports of nodes that arrived, each with the node that got it.
    pub reports: Vec<(usize, EvidenceReport)>,
    /// Whether the reports of nodes are lost.
    pub loses_reports: bool,
    queue: BTreeMap<(u64, u64), Scheduled>,
    last_number: u64,
}

impl Sim {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let mut sim = Self {
            now: 1_000_000,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|_| Slot::default()).collect(),
            store: FakeStore::default(),
            loss: 0,
            last_loss_at: 0,
            doubling: 0,
            delay: 2,
            far: BTreeSet::new(),
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

    /// Whether node `index` runs and is not paused.
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
        slot.open.clear();
        slot.disturbed_at = self.now;
    }

    pub fn pause(&mut self, index: usize, millis: u64) {
        let until = self.now + millis * 1_000;
        let slot = &mut self.nodes[index];
        slot.paused_until = until;
        slot.disturbed_at = until;
    }

    pub fn cut_off(&mut self, far: BTreeSet<usize>) {
        for index in far.union(&self.far) {
            self.nodes[*index].disturbed_at = self.now;
        }
        self.far = far;
    }

    /// Gives an event to a node at once; an event for a stopped node is lost.
    pub fn event(&mut self, index: usize, event: Event) {
        let slot = &mut self.nodes[index];
        if slot.control.is_none() {
            return;
        }
        if slot.paused_until > self.now {
            slot.inbox.push(event);
            return;
        }
        // After a pause the timer may fire before the messages that wait are read.
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
                self.nodes[to].open.insert(id, from);
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
        self.far.contains(&a) == self.far.contains(&b)
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
                let copies = 1 + u32::from(self.chance(self.doubling));
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
                let to = self.nodes[index].open.remove(&id).expect("one reply for each request");
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
                self.nodes[index].deaths.push(id);
            }
            Action::Report(_) => {}
        }
    }

    fn ask_store(&mut self, origin: RequestOrigin, request: StoreRequest) {
        if self.store.down || self.far.contains(&origin.0) {
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

    /// Wakes the watches that wait for another revision than the newest.
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

    /// Checks what node `index` gives to traffic.
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

    /// What the other nodes know of the version of node `index`, which starts now.
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

    /// The highest version that node `index` published, as far as a node knows
    /// of it that answered its join, or was in reach without loss since its start.
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
