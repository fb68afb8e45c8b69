//! A service with a rollout between two versions, and generated evidence of its nodes.

#![allow(dead_code)]

use std::env;

use almondsail_core::config::{
    Change, ConfigContent, Priority, Rollout, RolloutPhase, Route, ServerVersion, Service,
};
use almondsail_core::ids::{Incarnation, NodeId, RouteName, ServiceName, VersionName};
use almondsail_core::rollout::{
    CallStats, CellLabel, Driver, DriverDecision, Evidence, EvidenceReport, LatencyCounts, Notice,
    NoticeKind, Window,
};
use almondsail_core::units::{Millis, PerMille, UnixMillis};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The start of the simulated rollouts.
pub const START: UnixMillis = UnixMillis::new(1_800_000_000_000);
pub const SERVICE: &str = "bays";
const DEFAULT_SEED: u64 = 20_261_204;
const DEFAULT_CASES: u64 = 60;
const GEN_SIZE: usize = 40;

/// Returns a property runner with the seed and the number of cases from the environment, or with
/// defaults.
pub fn runner() -> QuickCheck {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seed = number("ALMONDSAIL_SEED").unwrap_or(DEFAULT_SEED);
    let cases = number("ALMONDSAIL_CASES").unwrap_or(DEFAULT_CASES);
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, seed)).tests(cases)
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

/// Returns the name of the route with this index in [`content`].
pub fn route(index: usize) -> RouteName {
    name(&format!("r{index:02}"))
}

pub fn after(millis: u64) -> UnixMillis {
    START + Millis::new(millis)
}

/// Creates a configuration with a service on v1 and a rollout to v2 over `span` ms. The first
/// `idempotent` of its `routes` routes are idempotent.
pub fn content(routes: usize, idempotent: usize, span: u64) -> ConfigContent {
    let mut content = ConfigContent::default();
    let service: ServiceName = name(SERVICE);
    let owner = Service { name: service.clone(), team: name("depots"), stable: Some(name("v1")) };
    content.services.insert(service.clone(), owner);
    for version in ["v1", "v2"] {
        let version = ServerVersion { service: service.clone(), version: name(version) };
        content.versions.insert(version);
    }
    for index in 0..routes {
        let route = Route {
            name: route(index),
            service: service.clone(),
            prefix: name(&format!("/r{index:02}")),
            priority: Priority::Interactive,
            idempotent: index < idempotent,
            deadline: Millis::new(5_000),
        };
        content.routes.insert(route.name.clone(), route);
    }
    let start = Change::StartRollout { service, to: name("v2"), deadline: after(span) };
    start.apply(&content, START).expect("a rollout can start")
}

pub fn rollout(content: &ConfigContent) -> &Rollout {
    &content.rollouts[SERVICE]
}

/// The probability of failures and refusals, and the latency, of calls to one version.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    pub failure_rate: f64,
    /// The number of calls refused before they run, for each call that is sent.
    pub refusals_per_call: f64,
    pub mean_bucket: f64,
}

/// A version that fails once in a thousand calls and takes about 32 ms to answer.
pub const GOOD: Behaviour =
    Behaviour { failure_rate: 0.001, refusals_per_call: 0.0, mean_bucket: 10.0 };

/// Creates a random number generator for one test case.
pub fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

/// Generates the counts of `calls` calls to a version with this behaviour.
pub fn stats(rng: &mut SmallRng, calls: u32, behaviour: Behaviour) -> CallStats {
    let mut latency = [0; LatencyCounts::BUCKETS];
    let mut failures = 0;
    for _ in 0..calls {
        if rng.random_bool(behaviour.failure_rate) {
            failures += 1;
        } else {
            let spread = rng.random::<f64>() + rng.random::<f64>() - 1.0;
            let bucket = (behaviour.mean_bucket + 4.0 * spread).round().clamp(0.0, 27.0);
            latency[bucket as usize] += 1;
        }
    }
    let refused = (f64::from(calls) * behaviour.refusals_per_call) as u32;
    CallStats { calls, failures, refused, latency: LatencyCounts::new(latency) }
}

pub fn report(
    node: &str,
    sequence: u64,
    cells: impl IntoIterator<Item = (u64, RouteName, &'static str, CallStats)>,
) -> EvidenceReport {
    let cell = |(window, route, version, stats)| {
        let version: VersionName = name(version);
        (CellLabel { window: Window::new(window), route, version }, stats)
    };
    let node: NodeId = name(node);
    EvidenceReport {
        service: name(SERVICE),
        node,
        incarnation: Incarnation::new(1),
        sequence,
        cells: cells.into_iter().map(cell).collect(),
    }
}

/// A rollout that is driven window by window on generated evidence.
pub struct RolloutSimulation {
    pub content: ConfigContent,
    pub evidence: Evidence,
    pub driver: Driver,
    pub now: UnixMillis,
    pub notices: Vec<Notice>,
    /// The number of calls sent to the new version so far.
    pub new_calls: u64,
    rng: SmallRng,
    sequence: u64,
}

impl RolloutSimulation {
    pub fn new(content: ConfigContent, seed: u64) -> Self {
        Self {
            content,
            evidence: Evidence::default(),
            driver: Driver::new(name(SERVICE)),
            now: START,
            notices: Vec::new(),
            new_calls: 0,
            rng: rng(seed),
            sequence: 0,
        }
    }

    /// Simulates a window in which each route gets `calls` calls, and lets the driver decide.
    ///
    /// `old` and `new` return the behaviour of the versions on the route with an index.
    pub fn run_window(
        &mut self,
        calls: u32,
        old: impl Fn(usize) -> Behaviour,
        new: impl Fn(usize) -> Behaviour,
    ) -> DriverDecision {
        let window = Window::at(self.now).get();
        let routes: Vec<(RouteName, bool)> =
            self.content.routes.values().map(|r| (r.name.clone(), r.idempotent)).collect();
        let (mut old_cells, mut new_cells) = (Vec::new(), Vec::new());
        for (index, (route, is_idempotent)) in routes.into_iter().enumerate() {
            let share = f64::from(self.share(is_idempotent).get()) / 1_000.0;
            let to_new = (0..calls).filter(|_| self.rng.random_bool(share)).count() as u32;
            let old_stats = stats(&mut self.rng, calls - to_new, old(index));
            let new_stats = stats(&mut self.rng, to_new, new(index));
            self.new_calls += u64::from(to_new);
            old_cells.push((window, route.clone(), "v1", old_stats));
            new_cells.push((window, route, "v2", new_stats));
        }
        self.now = self.now + Window::LENGTH;
        self.sequence += 1;
        self.evidence.merge(&report("node-1", self.sequence, old_cells), self.now);
        self.evidence.merge(&report("node-2", self.sequence, new_cells), self.now);
        self.decide()
    }

    /// Lets the driver decide and applies its changes.
    pub fn decide(&mut self) -> DriverDecision {
        let decision = self.driver.decide(&self.content, &self.evidence, self.now);
        for change in &decision.changes {
            self.apply(change);
        }
        self.notices.extend(decision.notices.iter().cloned());
        decision
    }

    pub fn apply(&mut self, change: &Change) {
        self.content = change.apply(&self.content, self.now).expect("the change applies");
    }

    pub fn rollout(&self) -> &Rollout {
        rollout(&self.content)
    }

    pub fn phase(&self) -> RolloutPhase {
        self.rollout().phase
    }

    pub fn has_notice(&self, kind: NoticeKind) -> bool {
        self.notices.iter().any(|notice| notice.kind == kind)
    }

    fn share(&self, is_idempotent: bool) -> PerMille {
        let rollout = self.rollout();
        match (rollout.phase, is_idempotent) {
            (RolloutPhase::Completed, _) => PerMille::MAX,
            (RolloutPhase::RolledBack, _) => PerMille::ZERO,
            (_, true) => rollout.share,
            (_, false) => rollout.non_idempotent_share,
        }
    }
}
