//! One simulated rollout on generated evidence.

use std::str::FromStr;
use std::sync::LazyLock;

use almondsail_core::config::{
    Change, ConfigContent, Priority, Rollout, RolloutPhase, Route, ServerVersion, Service,
};
use almondsail_core::ids::{Incarnation, NodeId, RouteName, ServiceName};
use almondsail_core::rollout::{
    CallOutcome, CallStats, CellLabel, Driver, Evidence, EvidenceReport, HostSpeed, LocalStopRule,
    Window,
};
use almondsail_core::units::{Micros, Millis, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::policy::{Policy, stop};
use crate::scenario::Scenario;

const START: UnixMillis = UnixMillis::new(1_800_000_000_000);
/// The time from the start of the rollout to its deadline.
const SPAN: Millis = Millis::new(1_800_000);
/// The largest number of windows of a run: the rollout's time and an hour.
const WINDOWS: u64 = 540;
/// The number of hosts that run each version.
const HOSTS: usize = 3;
/// The number of nodes that call the service.
const CALLERS: usize = 5;
/// The time from the end of a window until it is judged.
const JUDGING_DELAY: Millis = Millis::new(6_000);
/// The time from a change until it is in force on every node.
const IN_FORCE_DELAY: Millis = Millis::new(4_000);
/// The time from a stop by the local stop rule of one node until it is in force on every node.
const STOP_DELAY: Millis = Millis::new(1_000);
/// The largest deviation of a host's clock from the true time, in milliseconds.
const CLOCK_DEVIATION: i64 = 250;
/// The median latency of a call, in microseconds.
const MEDIAN_LATENCY: f64 = 20_000.0;
/// The standard deviation of the natural logarithm of the latency.
const LATENCY_SPREAD: f64 = 0.5;
const QUANTILES: usize = 4_096;

/// A sample of log-normal latencies in microseconds, from which each call draws one.
static LATENCIES: LazyLock<Vec<f64>> = LazyLock::new(|| {
    let mut rng = SmallRng::seed_from_u64(1);
    let normal = |rng: &mut SmallRng| {
        let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
        sum - 6.0
    };
    let latency = |_| MEDIAN_LATENCY * (LATENCY_SPREAD * normal(&mut rng)).exp();
    (0..QUANTILES).map(latency).collect()
});

/// The result of a simulated rollout.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// Whether the new version was rolled back.
    pub(crate) is_rolled_back: bool,
    /// Whether the rollout was complete before its deadline.
    pub(crate) is_in_time: bool,
    /// The number of calls to the new version on routes and at times at which it was bad.
    pub(crate) affected_calls: u64,
}

/// A simulated host with a backend server.
struct Host {
    node: NodeId,
    latency_factor: f64,
    speed: HostSpeed,
    clock_offset: i64,
    /// The counts of the last three windows, at the window's number modulo 3, by route.
    stats: [Vec<CallStats>; 3],
}

/// A simulated rollout on generated evidence.
pub(crate) struct Run {
    scenario: Scenario,
    policy: Policy,
    rng: SmallRng,
    content: ConfigContent,
    routes: Vec<RouteName>,
    /// The hosts of the old version, then those of the new one.
    hosts: Vec<Host>,
    evidence: Evidence,
    driver: Driver,
    local: Vec<LocalStopRule>,
    /// The state of the rollout that is in force on the nodes.
    in_force: Rollout,
    /// The next state of the rollout, and the time from which it is in force.
    pending: Option<(UnixMillis, Rollout)>,
    /// The time from which a stop by a node's local stop rule is in force on every node.
    stopped_at: Option<UnixMillis>,
    affected_calls: u64,
}

impl Run {
    pub(crate) fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let content = content(scenario);
        let in_force = rollout(&content).clone();
        let routes: Vec<RouteName> = content.routes.keys().cloned().collect();
        let hosts = (0..2 * HOSTS).map(|n| Host::new(n, scenario, &mut rng)).collect();
        let local = vec![LocalStopRule::new(CALLERS, routes.len()); CALLERS];
        let driver = Driver::new(in_force.service.clone());
        Self {
            scenario,
            policy,
            rng,
            content,
            routes,
            hosts,
            evidence: Evidence::default(),
            driver,
            local,
            in_force,
            pending: None,
            stopped_at: None,
            affected_calls: 0,
        }
    }

    /// Runs the simulation to its end.
    pub(crate) fn finish(mut self) -> Outcome {
        for index in 0..WINDOWS {
            let window = Window::new(Window::at(START).get() + index);
            self.run_window(window);
            self.report(window);
            let now = window.end() + JUDGING_DELAY;
            let changes = self.policy.decide(&mut self.driver, &self.content, &self.evidence, now);
            changes.iter().for_each(|change| self.apply(change, now));
            if self.in_force.phase == RolloutPhase::RolledBack {
                break;
            }
        }
        let last = rollout(&self.content);
        let is_rolled_back = last.phase == RolloutPhase::RolledBack;
        Outcome {
            is_rolled_back,
            is_in_time: last.phase == RolloutPhase::Completed && last.changed <= last.deadline,
            affected_calls: self.affected_calls,
        }
    }

    fn apply(&mut self, change: &Change, now: UnixMillis) {
        self.content = change.apply(&self.content, now).expect("a policy's change applies");
        self.pending = Some((now + IN_FORCE_DELAY, rollout(&self.content).clone()));
    }

    /// Simulates the calls of a window's length up to the time at which `window` is judged.
    fn run_window(&mut self, window: Window) {
        let second = window.start().since(START).get() / 1_000;
        let calls = self.scenario.calls(second);
        for call in 0..calls {
            let at = Window::LENGTH.get() * u64::from(call) / u64::from(calls);
            let now = window.start() + JUDGING_DELAY + Millis::new(at);
            if let Some((_, rollout)) = self.pending.take_if(|(at, _)| now >= *at) {
                self.in_force = rollout;
            }
            for route in 0..self.routes.len() {
                self.call(route, now, second);
            }
        }
    }

    fn call(&mut self, route: usize, now: UnixMillis, second: u64) {
        let is_new = self.is_new(route, now);
        let behaviour = self.scenario.behaviour(is_new, route, second);
        let host = self.rng.random_range(0..HOSTS) + if is_new { HOSTS } else { 0 };
        let has_failed = self.rng.random_bool(behaviour.failure_rate);
        if behaviour.refusal_rate > 0.0 && self.rng.random_bool(behaviour.refusal_rate) {
            self.hosts[host].record(route, now, CallOutcome::Refused, 0.0);
            return;
        }
        let latency = LATENCIES[self.rng.random_range(0..QUANTILES)] * behaviour.latency_factor;
        let outcome = if has_failed { CallOutcome::Failed } else { CallOutcome::Answered };
        self.hosts[host].record(route, now, outcome, latency);
        if is_new && self.scenario.is_affected(route, second) {
            self.affected_calls += 1;
        }
        self.apply_local_rule(route, now, is_new, has_failed);
    }

    fn is_new(&mut self, route: usize, now: UnixMillis) -> bool {
        let is_idempotent = route < self.scenario.idempotent_routes();
        let rollout = &self.in_force;
        let share = if is_idempotent { rollout.share } else { rollout.non_idempotent_share };
        let is_stopped = self.stopped_at.is_some_and(|at| now >= at);
        !is_stopped && self.rng.random_range(0..1_000) < share.get()
    }

    fn apply_local_rule(&mut self, route: usize, now: UnixMillis, is_new: bool, has_failed: bool) {
        if self.policy != Policy::Almondsail || self.stopped_at.is_some() {
            return;
        }
        let caller = self.rng.random_range(0..CALLERS);
        if self.local[caller].record(now, &self.routes[route], is_new, has_failed, 1) {
            self.stopped_at = Some(now + STOP_DELAY);
            let rollout = rollout(&self.content);
            let change = stop(rollout, &rollout.to);
            self.apply(&change, now);
        }
    }

    /// Reports the windows to which the hosts' clocks may have assigned calls, and clears the
    /// oldest.
    fn report(&mut self, window: Window) {
        let now = window.end() + JUDGING_DELAY;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let version = if index < HOSTS { &self.in_force.from } else { &self.in_force.to };
            let mut cells = Vec::new();
            for number in [window.get() - 1, window.get(), window.get() + 1] {
                let stats = &mut host.stats[(number % 3) as usize];
                for (route, stats) in self.routes.iter().zip(stats) {
                    let (route, version) = (route.clone(), version.clone());
                    let label = CellLabel { window: Window::new(number), route, version };
                    if stats.calls > 0 {
                        cells.push((label, *stats));
                    }
                }
            }
            host.stats[((window.get() - 1) % 3) as usize].fill(CallStats::default());
            let report = EvidenceReport {
                service: self.in_force.service.clone(),
                node: host.node.clone(),
                incarnation: Incarnation::new(1),
                sequence: window.get(),
                cells,
            };
            self.evidence.merge(&report, now);
        }
    }
}

impl Host {
    fn new(index: usize, scenario: Scenario, rng: &mut SmallRng) -> Self {
        let latency_factor = scenario.host_latency_factor(rng);
        let known = HostSpeed::new((1_000.0 / latency_factor) as u32).unwrap_or_default();
        let stats = vec![CallStats::default(); scenario.routes()];
        Self {
            node: name(&format!("node-{index}")),
            latency_factor,
            speed: if scenario.knows_host_speed() { known } else { HostSpeed::REFERENCE },
            clock_offset: rng.random_range(-CLOCK_DEVIATION..=CLOCK_DEVIATION),
            stats: [stats.clone(), stats.clone(), stats],
        }
    }

    fn record(&mut self, route: usize, now: UnixMillis, outcome: CallOutcome, latency: f64) {
        let by_clock = UnixMillis::new(now.get().saturating_add_signed(self.clock_offset));
        let window = Window::at(by_clock).get();
        let latency = Micros::new((latency * self.latency_factor) as u64);
        self.stats[(window % 3) as usize][route].record(outcome, latency, self.speed, 1);
    }
}

fn name<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn rollout(content: &ConfigContent) -> &Rollout {
    content.rollouts.values().next().expect("the service has a rollout")
}

fn content(scenario: Scenario) -> ConfigContent {
    let mut content = ConfigContent::default();
    let service: ServiceName = name("bays");
    let owner = Service { name: service.clone(), team: name("depots"), stable: Some(name("v1")) };
    content.services.insert(service.clone(), owner);
    for version in ["v1", "v2"] {
        let version = ServerVersion { service: service.clone(), version: name(version) };
        content.versions.insert(version);
    }
    for index in 0..scenario.routes() {
        let route = Route {
            name: name(&format!("r{index:02}")),
            service: service.clone(),
            prefix: name(&format!("/r{index:02}")),
            priority: Priority::Interactive,
            idempotent: index < scenario.idempotent_routes(),
            deadline: Millis::new(5_000),
        };
        content.routes.insert(route.name.clone(), route);
    }
    let start = Change::StartRollout { service, to: name("v2"), deadline: START + SPAN };
    start.apply(&content, START).expect("a rollout can start")
}
