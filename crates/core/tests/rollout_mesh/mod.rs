//! Several simulated nodes that shift a service to a new version while they count calls.

#![allow(dead_code)]

use std::collections::BTreeMap;

use almondsail_core::config::{Change, Priority, Rollout, RolloutPhase, Route};
use almondsail_core::control::Event;
use almondsail_core::ids::{RouteName, VersionName, WriteId};
use almondsail_core::rollout::{CallOutcome, CountedCalls, CountingRole};
use almondsail_core::units::{Micros, Millis};
use rand::Rng;

use crate::common::{Sim, create_service, create_version, name, submission};

/// The number of nodes; the first half have backend servers of v1, the others of v2.
pub const NODES: usize = 4;
/// The time from the start of the rollout to its deadline, in milliseconds.
pub const ROLLOUT_MILLIS: u64 = 240_000;
/// The number of calls that each entry node sends on each route in a second.
const CALLS_PER_SECOND: u32 = 25;
/// One second in milliseconds.
const SECOND: u64 = 1_000;
/// The time in which starting nodes join and begin to serve, in milliseconds.
const START_TIME: u64 = 6_500;
/// The longest time to wait for a submission, in seconds; more than between any two steps.
const STEP_WAIT_SECONDS: u64 = 60;

/// Several simulated nodes with a service whose rollout goes from v1 to v2.
pub struct RolloutMesh {
    pub sim: Sim,
    /// The percentage of calls to v2 that fail.
    pub failure_percent: u32,
    /// Whether entry nodes count calls too; the nodes beside backend servers always do.
    pub counts_at_entries: bool,
    /// The times in microseconds at which stopped nodes start again, with their indexes.
    restarts: Vec<(u64, usize)>,
    commands: u64,
}

type Counts = BTreeMap<(usize, CountingRole, RouteName, VersionName, CallOutcome), u32>;

impl RolloutMesh {
    /// Creates a mesh whose rollout has just started.
    pub fn new(seed: u64) -> Self {
        let mut sim = Sim::new(NODES, seed);
        let route = |route: &str, idempotent| {
            Change::CreateRoute(Route {
                name: name(route),
                service: name("bays"),
                prefix: name(&format!("/{route}")),
                priority: Priority::Interactive,
                idempotent,
                deadline: Millis::new(5_000),
            })
        };
        let changes = [
            create_service("bays"),
            create_version("bays", "v1"),
            create_version("bays", "v2"),
            route("lookup", true),
            route("book", false),
        ];
        for (index, change) in changes.iter().enumerate() {
            sim.store.accept_directly(change, WriteId::new([index as u8; 16]), sim.wall());
        }
        sim.run(START_TIME);
        let deadline = sim.wall() + Millis::new(ROLLOUT_MILLIS);
        let mut mesh = Self {
            sim,
            failure_percent: 0,
            counts_at_entries: false,
            restarts: Vec::new(),
            commands: 0,
        };
        mesh.accept_directly(&Change::StartRollout {
            service: name("bays"),
            to: name("v2"),
            deadline,
        });
        mesh
    }

    /// Returns the rollout in the newest accepted configuration.
    pub fn rollout(&self) -> &Rollout {
        &self.sim.store.values.last().expect("a configuration").content.rollouts["bays"]
    }

    pub fn phase(&self) -> RolloutPhase {
        self.rollout().phase
    }

    /// Returns the index of the node that drives the rollout in the view of the first running node.
    pub fn driver(&self) -> Option<usize> {
        let running = (0..NODES).find(|index| self.sim.is_running(*index))?;
        let control = self.sim.control(running);
        let ranked = control.rank("rollout/bays", None, 1);
        ranked.first()?.to_string().strip_prefix('n')?.parse().ok()
    }

    /// Lets the store accept `change` as the next configuration, before any change of a node.
    pub fn accept_directly(&mut self, change: &Change) {
        self.commands += 1;
        let write_id = WriteId::new([100 + self.commands as u8; 16]);
        let wall = self.sim.wall();
        self.sim.store.accept_directly(change, write_id, wall);
        self.sim.wake_watches();
    }

    /// Submits an operator's command at a node, if it runs.
    pub fn command(&mut self, node: usize, change: Change) {
        self.commands += 1;
        if self.sim.is_running(node) {
            self.sim.submit(node, submission(self.commands, change));
        }
    }

    /// Stops a node, which starts again after `millis`.
    pub fn restart(&mut self, node: usize, millis: u64) {
        self.sim.stop(node);
        self.restarts.retain(|(_, other)| *other != node);
        self.restarts.push((self.sim.now + millis * 1_000, node));
    }

    /// Runs the mesh for `seconds` with calls in each of them.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.sim.run(SECOND);
            let now = self.sim.now;
            let (due, later) = self.restarts.iter().partition(|(at, _)| *at <= now);
            self.restarts = later;
            let due: Vec<(u64, usize)> = due;
            due.into_iter().for_each(|(_, node)| self.sim.start(node));
            self.count();
        }
    }

    /// Runs until a node has a pending submission, or for [`STEP_WAIT_SECONDS`].
    pub fn run_until_submission(&mut self) {
        for _ in 0..STEP_WAIT_SECONDS {
            let is_submitting = |index| {
                self.sim.is_running(index) && self.sim.control(index).status().submissions > 0
            };
            if (0..NODES).any(is_submitting) {
                return;
            }
            self.run(1);
        }
    }

    fn count(&mut self) {
        let mut counts = Counts::new();
        for entry in (0..NODES).filter(|index| self.sim.is_running(*index)).collect::<Vec<_>>() {
            self.count_of_entry(entry, &mut counts);
        }
        let mut events: BTreeMap<usize, Vec<CountedCalls>> = BTreeMap::new();
        for ((node, at, route, version, outcome), calls) in counts {
            let latency = Micros::new(20_000);
            let service = name("bays");
            let counted = CountedCalls { at, service, route, version, outcome, latency, calls };
            events.entry(node).or_default().push(counted);
        }
        for (node, counted) in events {
            self.sim.event(node, Event::CallsCounted(counted));
        }
    }

    fn count_of_entry(&mut self, entry: usize, counts: &mut Counts) {
        let snapshot = self.sim.control(entry).snapshot();
        for route in ["lookup", "book"].map(name::<RouteName>) {
            let Some(split) = snapshot.split(&route) else { continue };
            for _ in 0..CALLS_PER_SECOND {
                let version = split.choose(self.sim.rng.random_range(0..1_000)).clone();
                let is_new = version.to_string() == "v2";
                let backend = self.sim.rng.random_range(0..NODES / 2) + usize::from(is_new) * 2;
                // Calls to a backend server whose node is stopped are not counted anywhere.
                if !self.sim.is_running(backend) {
                    continue;
                }
                let fails = is_new && self.sim.rng.random_range(0..100) < self.failure_percent;
                let outcome = if fails { CallOutcome::Failed } else { CallOutcome::Answered };
                let mut add = |node, at| {
                    *counts
                        .entry((node, at, route.clone(), version.clone(), outcome))
                        .or_default() += 1;
                };
                add(backend, CountingRole::Backend);
                if self.counts_at_entries {
                    add(entry, CountingRole::Entry);
                }
            }
        }
    }
}
