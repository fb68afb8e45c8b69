//! A fleet of nodes and their store in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use almondsail_core::fleet::{
    FleetAction, FleetControl, FleetEvent, FleetIdentity, StoreFailure, StoreReply, StoreRequest,
    StoreResponse,
};
use almondsail_core::ids::Incarnation;
use almondsail_core::store::StoreEra;
use almondsail_core::units::{Instant, Micros, Millis, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::simulated_store::SimulatedStore;
use super::{at, entry};

/// Time limit of a request to the store.
const REQUEST_TIMEOUT: Millis = Millis::new(900);
const TICK_INTERVAL: Millis = Millis::new(100);
/// How long another node takes to send its configuration.
const FETCH_TIME: Millis = Millis::new(30);

/// Nodes in two data centres and their store, in simulated time.
pub struct SimulatedFleet {
    pub store: SimulatedStore,
    now: Instant,
    rng: SmallRng,
    nodes: Vec<FleetControl>,
    /// The events to come, in the order of their times.
    queue: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    /// The requests to the store that have not ended, each a node and a number.
    open_requests: BTreeSet<(usize, u64)>,
}

enum Event {
    Tick(usize),
    Deliver(usize, FleetEvent),
    StoreRequest(usize, u64, StoreRequest),
    StoreReply(usize, u64, Result<StoreReply, StoreFailure>),
    WatchEnd(usize, u64),
    ConfigPut(u64),
}

impl SimulatedFleet {
    /// Creates `nodes` nodes that start at the same time, by turns in two data centres. The store
    /// holds version 1 of the configuration.
    pub fn start(nodes: u8, seed: u64) -> Self {
        let identity = |n| FleetIdentity {
            entry: entry(n, if n % 2 == 0 { "dc-a" } else { "dc-b" }),
            incarnation: Incarnation::new(1),
            service: "bays".parse().unwrap(),
            backend: format!("10.0.0.{n}:80").parse().unwrap(),
        };
        let mut fleet = Self {
            store: SimulatedStore::default(),
            now: at(0),
            rng: SmallRng::seed_from_u64(seed),
            nodes: (1..=nodes).map(|n| FleetControl::new(identity(n), at(0))).collect(),
            queue: BTreeMap::new(),
            next_event: 0,
            open_requests: BTreeSet::new(),
        };
        fleet.store.silent_nodes = 0..fleet.nodes.len();
        fleet.store.put_config(1);
        for node in 0..fleet.nodes.len() {
            let first = fleet.rng.random_range(0..=TICK_INTERVAL.get());
            fleet.schedule(at(first), Event::Tick(node));
        }
        fleet
    }

    /// Puts `version` of the configuration in the store at `time`.
    pub fn put_config_at(&mut self, time: Instant, version: u64) {
        self.schedule(time, Event::ConfigPut(version));
    }

    /// Runs until `end`. Calls `check` every 100 ms with the versions of the nodes.
    pub fn run(&mut self, end: Instant, mut check: impl FnMut(Instant, &[u64])) {
        let mut next_check = self.now;
        while let Some(((time, number), event)) = self.queue.pop_first() {
            if time > end {
                self.queue.insert((time, number), event);
                break;
            }
            self.now = time;
            self.handle(event);
            if time >= next_check {
                next_check = time + TICK_INTERVAL;
                let version =
                    |node: &FleetControl| node.config().map_or(0, |text| text.config.version.get());
                check(time, &self.nodes.iter().map(version).collect::<Vec<_>>());
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(node));
                self.node_event(node, FleetEvent::Tick);
            }
            Event::Deliver(node, event) => self.node_event(node, event),
            Event::StoreRequest(node, id, request) => {
                let receiver = (node, id);
                let reply = self.store.request(self.now, &mut self.rng, receiver, &request);
                if let (StoreRequest::Watch(_, _, time), None) = (&request, &reply) {
                    self.schedule(self.now + *time, Event::WatchEnd(node, id));
                }
                if let Some(reply) = reply {
                    self.schedule_delayed(Event::StoreReply(node, id, Ok(reply)));
                }
                self.deliver_changes();
            }
            Event::StoreReply(node, id, reply) => {
                if !self.open_requests.remove(&(node, id)) {
                    return;
                }
                let response = match reply {
                    Ok(reply) => StoreResponse::new(StoreEra::default(), Ok(reply)),
                    Err(failure) => StoreResponse::failed(failure),
                };
                self.node_event(node, FleetEvent::Store { id, response });
            }
            Event::WatchEnd(node, id) => {
                if let Some(reply) = self.store.end_watch(self.now, (node, id)) {
                    self.schedule_delayed(Event::StoreReply(node, id, Ok(reply)));
                }
            }
            Event::ConfigPut(version) => {
                self.store.put_config(version);
                self.deliver_changes();
            }
        }
    }

    fn deliver_changes(&mut self) {
        for ((node, id), reply) in self.store.due_watches(self.now, &mut self.rng) {
            self.schedule_delayed(Event::StoreReply(node, id, Ok(reply)));
        }
    }

    fn node_event(&mut self, node: usize, event: FleetEvent) {
        let wall = UnixMillis::new(1_000_000 + self.now.get() / 1_000);
        let actions = self.nodes[node].handle(self.now, wall, event, &mut self.rng);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: FleetAction) {
        match action {
            FleetAction::Store { id, request } => {
                self.open_requests.insert((node, id));
                let timeout = match request {
                    StoreRequest::Watch(_, _, time) => REQUEST_TIMEOUT.get() + time.get(),
                    StoreRequest::List(..) => 2 * REQUEST_TIMEOUT.get(),
                    _ => REQUEST_TIMEOUT.get(),
                };
                let unanswered = Event::StoreReply(node, id, Err(StoreFailure::Unanswered));
                self.schedule(self.now + Millis::new(timeout), unanswered);
                self.schedule_delayed(Event::StoreRequest(node, id, request));
            }
            FleetAction::Heartbeat(heartbeat, addresses) => {
                for address in addresses {
                    let to = self.nodes.iter().position(|node| {
                        let to = node.identity();
                        to.entry.heartbeats == address
                    });
                    let event = FleetEvent::Heartbeat(heartbeat.as_ref().clone());
                    if let Some(to) = to {
                        self.schedule_delayed(Event::Deliver(to, event));
                    }
                }
            }
            FleetAction::FetchConfig(from) => {
                let asked = self.nodes.iter().find(|node| node.identity().entry.inbound == from);
                let config = asked.and_then(|node| node.config().cloned());
                let event = FleetEvent::PeerConfig { from, config };
                self.schedule(self.now + FETCH_TIME, Event::Deliver(node, event));
            }
            FleetAction::CancelStore(id) => {
                self.open_requests.remove(&(node, id));
            }
            FleetAction::Publish | FleetAction::Report(_) => {}
        }
    }

    /// Schedules `event` after the delay of the network.
    fn schedule_delayed(&mut self, event: Event) {
        let delay = Micros::new(self.rng.random_range(500..=5_000));
        self.schedule(self.now + delay, event);
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.queue.insert((time, self.next_event), event);
        self.next_event += 1;
    }
}
