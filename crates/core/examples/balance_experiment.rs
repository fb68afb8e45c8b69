//! Places the calls of a fleet on servers of uneven speed, for several ways to choose a server.
//!
//! `cargo run --release --example balance_experiment -p almondsail-core [NODES] [POLICY] [LOAD]`
//! prints for each way the occupancy of the busiest server over the mean one, the bytes between data centres,
//! and the shares of calls that were late or refused. Without arguments, all numbers of nodes and
//! all ways are shown at load 1; `all` stands for all of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::process::ExitCode;

use almondsail_core::fleet::{
    Admission, CallQueue, CallRank, CallRequirements, Destination, Endpoint, EndpointDraws,
    LoadBalancer, LoadBalancerContext, MeshRoute, QueueTicket, ServiceEndpoints, TrafficRamp,
    VersionRule,
};
use almondsail_core::ids::NodeId;
use almondsail_core::units::{ByteCount, Instant, Micros, Millis, Percent};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// The numbers of nodes that are shown, and the simulated time of each, in milliseconds.
const FLEETS: [(usize, u64); 5] =
    [(16, 51_000), (67, 51_000), (87, 51_000), (295, 17_000), (1_412, 5_000)];
/// The number of simulations whose results are added up.
const SEEDS: u64 = 5;
/// Calls that arrive before this time, in milliseconds, are not counted.
const WARM_UP_MS: u64 = 1_000;
const DATA_CENTRES: usize = 3;
/// The share of nodes with a server, and the calls per second of the fleet for each server.
const SERVERS_PER_NODE: f64 = 55.0 / 67.0;
const CALLS_PER_SERVER: f64 = 970.0 / 55.0;
const SLOTS: u32 = 6;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
const WORK_MS: f64 = 100.0;
/// One in this share of calls takes `TAIL_FACTOR` times as long.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
/// Work on a host takes `SPELL_FACTOR` times as long in `SPELL_SHARE` of the spells.
const SPELL_MS: u64 = 600;
const SPELL_SHARE: f64 = 0.15;
const SPELL_FACTOR: f64 = 2.5;
const TARGET_MS: u64 = 500;
const DEADLINE_MS: u64 = 1_500;
const WAVE_MS: f64 = 17_000.0;
const WAVE_HEIGHT: f64 = 0.55;
/// The time from one node to another, in microseconds, within and between data centres.
const NEAR_US: u64 = 400;
const FAR_US: u64 = 1_800;
const CALL_BYTES: u64 = 2_000;
/// The number of endpoints that a call may be sent to in turn.
const MAX_TRIES: usize = 3;

/// How an entry node chooses the server of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The load balancer without the rates of servers.
    NoRate,
    /// The load balancer with the rates of servers.
    Rate(EndpointDraws),
    /// The load balancer with rates, among this many endpoints that are drawn from all data centres.
    Drawn(usize),
    /// The load balancer with rates, among this many endpoints that a node keeps to.
    Subset(usize),
    /// The shortest expected queue of all endpoints, by what the node knows of them.
    ShortestQueue,
    /// The shortest expected queue of this many drawn endpoints, which are asked before.
    Probes(usize),
}

impl Policy {
    const ALL: [(&'static str, Self); 14] = [
        ("no-rate", Self::NoRate),
        ("whole", Self::Rate(EndpointDraws::All)),
        ("two", Self::Drawn(2)),
        ("four", Self::Drawn(4)),
        ("eight", Self::Drawn(8)),
        ("near-2-far-2", Self::drawn(2, 2)),
        ("near-4-far-2", Self::drawn(4, 2)),
        ("near-6-far-2", Self::drawn(6, 2)),
        ("near-6-far-4", Self::drawn(6, 4)),
        ("near-12-far-4", Self::drawn(12, 4)),
        ("near-6-far-0", Self::drawn(6, 0)),
        ("subset-12", Self::Subset(12)),
        ("shortest", Self::ShortestQueue),
        ("probes-3", Self::Probes(3)),
    ];

    const fn drawn(near: usize, far: usize) -> Self {
        Self::Rate(EndpointDraws::Drawn { near, far })
    }

    /// Returns how many endpoints the load balancer itself draws.
    const fn draws(self) -> EndpointDraws {
        match self {
            Self::Rate(draws) => draws,
            _ => EndpointDraws::All,
        }
    }
}

/// A call on its way.
#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    arrived_at: u64,
    /// The work of the call in microseconds, on a usual server.
    work: f64,
    tried: Vec<NodeId>,
    server: usize,
    started_at: u64,
}

/// A server with the queue in front of it.
struct Server {
    queue: CallQueue,
    waiting: BTreeMap<QueueTicket, Call>,
    calls: u32,
    speed: f64,
    /// The slow spells, one entry each `SPELL_MS`.
    spells: Vec<bool>,
}

impl Server {
    fn factor(&self, now: u64) -> f64 {
        let spell = (now / (SPELL_MS * 1_000)) as usize;
        if self.spells[spell.min(self.spells.len() - 1)] { SPELL_FACTOR } else { 1.0 }
    }

    /// Returns when a call with `work` ends that starts at `now`.
    fn end(&self, now: u64, work: f64) -> u64 {
        let (mut now, mut left) = (now, work / self.speed);
        loop {
            let spell_end = (now / (SPELL_MS * 1_000) + 1) * SPELL_MS * 1_000;
            let factor = self.factor(now);
            let done = (spell_end - now) as f64 / factor;
            if done >= left {
                return now + (left * factor) as u64;
            }
            left -= done;
            now = spell_end;
        }
    }
}

/// What happens at a time of the simulation.
#[derive(Debug, Clone)]
enum Event {
    Arrives(usize),
    Reaches(Call),
    Ends(Call),
    Answered { call: Call, ahead: u32, mean: Option<Micros>, run_time: u64, rate: Option<Percent> },
    Refused { call: Call, ahead: u32, mean: Option<Micros>, rate: Option<Percent> },
}

/// An event with its time and a number that keeps the order of events of the same time.
struct Due(u64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Totals {
    calls: u64,
    late: u64,
    refused: u64,
    far: u64,
    took: f64,
    /// The sum and the number of samples of the busiest server over the mean one.
    busiest: (f64, u32),
}

impl Totals {
    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.late += other.late;
        self.refused += other.refused;
        self.far += other.far;
        self.took += other.took;
        self.busiest.0 += other.busiest.0;
        self.busiest.1 += other.busiest.1;
    }
}

struct Simulation {
    policy: Policy,
    end: u64,
    load: f64,
    rng: SmallRng,
    route: MeshRoute,
    endpoints: ServiceEndpoints,
    balancers: Vec<LoadBalancer>,
    servers: Vec<Server>,
    due: BinaryHeap<Reverse<Due>>,
    next_event: u64,
    totals: Totals,
}

const fn data_centre(node: usize) -> usize {
    node % DATA_CENTRES
}

fn data_centre_name(node: usize) -> String {
    format!("dc-{}", data_centre(node))
}

impl Simulation {
    fn new(policy: Policy, nodes: usize, ms: u64, load: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = (nodes as f64 * SERVERS_PER_NODE).round() as usize;
        let mut server = |index: usize| {
            let mut queue = CallQueue::new();
            queue.set_slots(Instant::new(0), SLOTS);
            Server {
                queue,
                waiting: BTreeMap::new(),
                calls: 0,
                speed: SPEEDS[index / DATA_CENTRES % SPEEDS.len()],
                spells: (0..ms / SPELL_MS + 20).map(|_| rng.random_bool(SPELL_SHARE)).collect(),
            }
        };
        let servers = (0..count).map(&mut server).collect();
        let endpoint = |index: usize| Endpoint {
            node: format!("n{index}").parse().expect("a valid name"),
            address: "10.0.0.1:80".parse().expect("a valid address"),
            data_centre: data_centre_name(index).parse().expect("a valid name"),
            backend: format!("i-{index}").parse().expect("a valid name"),
            version: "v1".parse().expect("a valid name"),
            slots: SLOTS,
            is_cold: false,
            is_silent: false,
            cold_rate: None,
            ramp: TrafficRamp::OPEN,
        };
        let endpoints = (0..count).map(endpoint).collect();
        let balancer = |node| {
            LoadBalancer::new(data_centre_name(node).parse().expect("a valid name"))
                .with_draws(policy.draws())
        };
        let mut simulation = Self {
            policy,
            end: ms * 1_000,
            load,
            rng: SmallRng::seed_from_u64(seed + SEEDS),
            route: route(),
            endpoints: ServiceEndpoints { endpoints, rule: VersionRule::Any },
            balancers: (0..nodes).map(balancer).collect(),
            servers,
            due: BinaryHeap::new(),
            next_event: 0,
            totals: Totals::default(),
        };
        for node in 0..nodes {
            simulation.schedule(0, Event::Arrives(node));
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.due.push(Reverse(Due(at, self.next_event, event)));
    }

    fn run(mut self) -> Totals {
        let mut sampled_at = WARM_UP_MS * 1_000;
        while let Some(Reverse(Due(now, _, event))) = self.due.pop() {
            if now >= sampled_at && now < self.end {
                sampled_at += 100_000;
                let most = self.servers.iter().map(|server| server.calls).max().unwrap_or(0);
                let sum: u32 = self.servers.iter().map(|server| server.calls).sum();
                let mean = f64::from(sum) / self.servers.len() as f64;
                self.totals.busiest.0 += f64::from(most) / mean.max(0.1);
                self.totals.busiest.1 += 1;
            }
            self.handle(now, event);
        }
        self.totals
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrives(entry) => self.arrive(now, entry),
            Event::Reaches(call) => self.reach(now, call),
            Event::Ends(call) => self.end_run(now, &call),
            Event::Answered { call, ahead, mean, run_time, rate } => {
                let way = Micros::new(2 * way(&call));
                self.record(now, &call, ahead, mean, rate);
                let route = self.route.name.clone();
                let balancer = &mut self.balancers[call.entry];
                let load = balancer.load(&self.endpoints.endpoints[call.server].node);
                load.record_run_time_at(Instant::new(now), &route, Micros::new(run_time), way);
                load.record_answer();
                balancer.record_size(&route, ByteCount::new(CALL_BYTES));
                self.finish(now, &call, false);
            }
            Event::Refused { call, ahead, mean, rate } => {
                self.record(now, &call, ahead, mean, rate);
                let node = &self.endpoints.endpoints[call.server].node;
                self.balancers[call.entry].load(node).record_refusal(Instant::new(now));
                if call.tried.len() >= MAX_TRIES {
                    self.finish(now, &call, true);
                } else {
                    self.send(now, call);
                }
            }
        }
    }

    fn record(
        &mut self,
        now: u64,
        call: &Call,
        ahead: u32,
        mean: Option<Micros>,
        rate: Option<Percent>,
    ) {
        let node = &self.endpoints.endpoints[call.server].node;
        let load = self.balancers[call.entry].load(node);
        load.record_report(Instant::new(now), &self.route.name, ahead, mean);
        if let Some(rate) = rate {
            load.record_rate(Instant::new(now), rate);
        }
        load.record_end();
    }

    fn finish(&mut self, now: u64, call: &Call, is_refused: bool) {
        if call.arrived_at < WARM_UP_MS * 1_000 {
            return;
        }
        self.totals.calls += 1;
        self.totals.refused += u64::from(is_refused);
        let took = now - call.arrived_at;
        self.totals.late += u64::from(!is_refused && took > TARGET_MS * 1_000);
        self.totals.took += took as f64;
    }

    /// Lets a call arrive at `entry`, and schedules the next one.
    fn arrive(&mut self, now: u64, entry: usize) {
        if now >= self.end {
            return;
        }
        let per_node = CALLS_PER_SERVER * self.servers.len() as f64 / self.balancers.len() as f64;
        let phase = data_centre(entry) as f64 / DATA_CENTRES as f64;
        let wave = (now as f64 / 1_000.0 / WAVE_MS + phase) * std::f64::consts::TAU;
        let rate = self.load * per_node * (1.0 + WAVE_HEIGHT * wave.sin());
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate * 1e6;
        self.schedule(now + pause as u64 + 1, Event::Arrives(entry));
        let tail = if self.rng.random_bool(TAIL_SHARE) { TAIL_FACTOR } else { 1.0 };
        let work = WORK_MS * 1_000.0 * tail * self.rng.random_range(0.8..1.2);
        let call =
            Call { entry, arrived_at: now, work, tried: Vec::new(), server: 0, started_at: now };
        self.send(now, call);
    }

    fn send(&mut self, now: u64, mut call: Call) {
        call.server = self.choose(now, &call);
        let node = self.endpoints.endpoints[call.server].node.clone();
        self.balancers[call.entry].load(&node).record_sent();
        call.tried.push(node);
        let is_far = data_centre(call.entry) != data_centre(call.server);
        self.totals.far += u64::from(is_far);
        let asked = if matches!(self.policy, Policy::Probes(_)) { 2 } else { 0 };
        let way = way(&call) * (1 + asked);
        self.schedule(now + way, Event::Reaches(call));
    }

    /// Chooses the index of the server for `call`.
    fn choose(&mut self, now: u64, call: &Call) -> usize {
        let all = self.endpoints.endpoints.len();
        let drawn: Vec<usize> = match self.policy {
            Policy::NoRate | Policy::Rate(_) | Policy::ShortestQueue => {
                return self.choose_among(now, call, None);
            }
            Policy::Drawn(count) | Policy::Probes(count) => {
                (0..count).map(|_| self.rng.random_range(0..all)).collect()
            }
            Policy::Subset(count) => {
                (0..count).map(|n| (call.entry * 31 + n * (all / count).max(1)) % all).collect()
            }
        };
        self.choose_among(now, call, Some(drawn))
    }

    fn choose_among(&mut self, now: u64, call: &Call, drawn: Option<Vec<usize>>) -> usize {
        let drawn = drawn.map(|drawn| {
            let endpoints = drawn.iter().map(|index| self.endpoints.endpoints[*index].clone());
            let endpoints = endpoints.filter(|e| !call.tried.contains(&e.node)).collect();
            ServiceEndpoints { endpoints, rule: VersionRule::Any }
        });
        let endpoints = drawn.as_ref().filter(|d| !d.endpoints.is_empty());
        let endpoints = endpoints.unwrap_or(&self.endpoints);
        let at = Instant::new(now);
        let balancer = &self.balancers[call.entry];
        let elapsed = Micros::new(now - call.arrived_at);
        let left =
            |ms| Micros::new(Micros::from(Millis::new(ms)).get().saturating_sub(elapsed.get()));
        let context = LoadBalancerContext {
            route: &self.route,
            target_left: left(TARGET_MS - 18),
            deadline_left: left(DEADLINE_MS),
            to_new: false,
            tried_nodes: &call.tried,
        };
        let expected = |endpoint: &Endpoint| match self.policy {
            Policy::Probes(_) => {
                let server = &self.servers[index(endpoint)];
                let mean = server.queue.mean_time().map_or(WORK_MS * 1e3, |mean| mean.get() as f64);
                let queued = f64::from((server.calls + 1).saturating_sub(SLOTS)) / f64::from(SLOTS);
                (1.0 + queued) * mean * server.factor(now)
            }
            _ => balancer.estimate(at, &self.route, endpoint).0.get() as f64,
        };
        let chosen = match self.policy {
            Policy::ShortestQueue | Policy::Probes(_) => endpoints
                .endpoints
                .iter()
                .filter(|endpoint| !call.tried.contains(&endpoint.node))
                .min_by(|a, b| expected(a).total_cmp(&expected(b))),
            _ => balancer.choose(at, &context, endpoints, &mut self.rng),
        };
        chosen.map_or(0, index)
    }

    fn reach(&mut self, now: u64, mut call: Call) {
        call.started_at = now;
        let requirements = self.requirements(&call);
        let server = &mut self.servers[call.server];
        match server.queue.admit(Instant::new(now), requirements) {
            Admission::Run => {
                server.calls += 1;
                self.start(now, call);
            }
            Admission::Wait(ticket) => {
                server.calls += 1;
                server.waiting.insert(ticket, call);
            }
            Admission::Refused { .. } => self.refuse(now, call),
        }
    }

    fn start(&mut self, now: u64, mut call: Call) {
        call.started_at = now;
        let end = self.servers[call.server].end(now, call.work);
        self.schedule(end.max(now + 1), Event::Ends(call));
    }

    fn refuse(&mut self, now: u64, call: Call) {
        let (ahead, mean, rate) = self.report(now, &call);
        self.schedule(now + way(&call), Event::Refused { call, ahead, mean, rate });
    }

    /// Returns the load that the node beside the server reports for calls like `call`.
    fn report(&self, now: u64, call: &Call) -> (u32, Option<Micros>, Option<Percent>) {
        let queue = &self.servers[call.server].queue;
        let ahead = queue.calls_ahead(&self.requirements(call));
        (ahead, queue.mean_time(), queue.service_time(Instant::new(now)))
    }

    fn end_run(&mut self, now: u64, call: &Call) {
        let requirements = self.requirements(call);
        let is_rate_known = self.policy != Policy::NoRate;
        let server = &mut self.servers[call.server];
        let at = Instant::new(now);
        if is_rate_known {
            let percent = Percent::new((server.factor(now) * 100.0) as u32);
            server.queue.record_rate(at, percent);
        }
        let run_time = now - call.started_at;
        server.calls -= 1;
        let wakeups = server.queue.end(at, &requirements, Some(Micros::new(run_time)));
        for wakeup in wakeups {
            let server = &mut self.servers[call.server];
            let Some(next) = server.waiting.remove(&wakeup.ticket) else { continue };
            if wakeup.refused.is_none() {
                self.start(now, next);
            } else {
                server.calls -= 1;
                self.refuse(now, next);
            }
        }
        let (ahead, mean, rate) = self.report(now, call);
        let answered = Event::Answered { call: call.clone(), ahead, mean, run_time, rate };
        self.schedule(now + way(call), answered);
    }

    fn requirements(&self, call: &Call) -> CallRequirements {
        let arrived = Instant::new(call.arrived_at);
        CallRequirements {
            route: self.route.name.clone(),
            rank: CallRank { team: 0, route: 1 },
            team: None,
            target: arrived + Millis::new(TARGET_MS - 18),
            deadline: arrived + Millis::new(DEADLINE_MS),
            target_latency: Millis::new(TARGET_MS),
        }
    }
}

/// Returns the time from the entry node of `call` to its server, in microseconds.
const fn way(call: &Call) -> u64 {
    match (call.entry == call.server, data_centre(call.entry) == data_centre(call.server)) {
        (true, _) => 0,
        (false, true) => NEAR_US,
        (false, false) => FAR_US,
    }
}

/// Returns the index of the server of `endpoint`, by the number in its name.
fn index(endpoint: &Endpoint) -> usize {
    endpoint.node.as_str()[1..].parse().expect("a number")
}

fn route() -> MeshRoute {
    MeshRoute {
        name: "r".parse().expect("a valid name"),
        host: "a.example".into(),
        prefix: "/".into(),
        idempotent: true,
        timeout: Millis::new(DEADLINE_MS),
        target_latency: Millis::new(TARGET_MS),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        destinations: vec![Destination { service: "s".parse().expect("a valid name"), weight: 1 }],
    }
}

fn print(nodes: usize, ms: u64, load: f64, (name, policy): (&str, Policy)) {
    let mut totals = Totals::default();
    for seed in 0..SEEDS {
        totals.add(&Simulation::new(policy, nodes, ms, load, seed).run());
    }
    let share = |count: u64| 100.0 * count as f64 / totals.calls as f64;
    let seconds = (SEEDS * (ms - WARM_UP_MS)) as f64 / 1_000.0;
    println!(
        "{nodes:>5} {name:<13} {:>7.2} {:>9.1} {:>7.2} {:>8.2} {:>7.1}",
        totals.busiest.0 / f64::from(totals.busiest.1),
        (totals.far * CALL_BYTES) as f64 / seconds / 1_000.0,
        share(totals.late),
        share(totals.refused),
        totals.took / totals.calls as f64 / 1_000.0,
    );
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let nodes = arguments.next().filter(|nodes| nodes != "all");
    let policy = arguments.next().filter(|policy| policy != "all");
    let load = arguments.next().and_then(|load| load.parse().ok()).unwrap_or(1.0);
    println!("nodes way           busiest    kB/s far  late %  refused %  mean ms");
    let mut printed = 0;
    for (count, ms) in FLEETS {
        for (name, way) in Policy::ALL {
            if nodes.as_deref().is_none_or(|wanted| wanted == count.to_string())
                && policy.as_deref().is_none_or(|wanted| wanted == name)
            {
                print(count, ms, load, (name, way));
                printed += 1;
            }
        }
    }
    if printed == 0 {
        let names = Policy::ALL.map(|(name, _)| name).join(", ");
        eprintln!("numbers of nodes: {:?}; ways: {names}", FLEETS.map(|(count, _)| count));
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
