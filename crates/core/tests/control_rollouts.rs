//! Property tests of rollouts driven by several `Control`s under faults.

mod common;
mod rollout_mesh;

use std::collections::BTreeSet;

use almondsail_core::config::{Change, Rollout, RolloutPhase, ServerVersion};
use almondsail_core::control::Event;
use almondsail_core::rollout::{CallOutcome, CountedCalls, CountingRole, RampStep, Window};
use almondsail_core::units::Micros;
use common::{checker, name, stop_mark};
use quickcheck::{Arbitrary, Gen};
use rollout_mesh::{NODES, ROLLOUT_MILLIS, RolloutMesh};

/// Longest time until a stopped driver starts again. Most stay down until the test ends.
const MAX_DOWNTIME_MILLIS: u64 = 300_000;

/// Time from the end of a window until its result takes effect at the driver: 6 s until the
/// window is evaluated, and one review of the rollouts per second.
const EVALUATION_DELAY_MILLIS: u64 = 7_200;

/// A rollout command of an operator.
#[derive(Debug, Clone, Copy)]
enum Command {
    Hold,
    Resume,
    RollBack,
}

impl Command {
    fn change(self) -> Change {
        match self {
            Self::Hold => Change::HoldRollout(name("bays")),
            Self::Resume => Change::ResumeRollout(name("bays")),
            Self::RollBack => {
                Change::RollBack { service: name("bays"), reason: "by an operator".into() }
            }
        }
    }
}

impl Arbitrary for Command {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::RollBack,
            1..=3 => Self::Hold,
            _ => Self::Resume,
        }
    }
}

/// One step of a scenario. Times are in milliseconds unless noted.
#[derive(Debug, Clone, Copy)]
enum Step {
    KillDriver(u64),
    FreezeDriver(u64),
    /// The driver loses its peers and the store for this many seconds.
    CutDriver(u64),
    /// The driver is paused while the store is down and its submitted step is pending.
    FreezeInSubmission(u64),
    /// An operator's command is accepted while a submitted step waits for the store.
    RaceSubmission(Command),
    Command(usize, Command),
    Store {
        down: bool,
        lost: u32,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut draw = |bound: u64| u64::arbitrary(g) % bound;
        match draw(9) {
            0 => Self::KillDriver(draw(20_000)),
            1 => Self::FreezeDriver(draw(20_000)),
            2 => Self::CutDriver(draw(20)),
            3 | 4 => Self::FreezeInSubmission(draw(20_000)),
            5 | 6 => Self::RaceSubmission(Command::arbitrary(g)),
            7 => Self::Command(draw(NODES as u64) as usize, Command::arbitrary(g)),
            _ => Self::Store { down: draw(3) == 0, lost: draw(60) as u32 },
        }
    }
}

/// A random sequence of faults and commands during a rollout.
#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    /// Number of calls of v2 that fail, of 100.
    failure_percent: u32,
    /// Steps, each with the seconds until the next one.
    steps: Vec<(Step, u64)>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps: Vec<(Step, u64)> = Vec::arbitrary(g);
        let steps = steps.into_iter().map(|(step, gap)| (step, gap % 20)).take(8).collect();
        let failure_percent = if u8::arbitrary(g) % 4 == 0 { 20 } else { 0 };
        Self { seed: u64::arbitrary(g), failure_percent, steps }
    }
}

/// Random numbers for one case. Not shrunk, because each case takes long and smaller numbers
/// don't make a failure clearer.
#[derive(Debug, Clone, Copy)]
struct CaseValues([u64; 4]);

impl Arbitrary for CaseValues {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(std::array::from_fn(|_| u64::arbitrary(g)))
    }
}

fn apply(mesh: &mut RolloutMesh, step: Step) {
    let driver = mesh.driver();
    match (step, driver) {
        (Step::KillDriver(time), Some(driver)) => mesh.restart(driver, time),
        (Step::FreezeDriver(time), Some(driver)) => mesh.sim.pause(driver, time),
        (Step::CutDriver(time), Some(driver)) => {
            mesh.sim.cut_off([driver].into());
            mesh.run(time);
            mesh.sim.cut_off([].into());
        }
        (Step::FreezeInSubmission(time), _) => {
            mesh.sim.store.down = true;
            mesh.run_until_submission();
            if let Some(driver) = mesh.driver() {
                mesh.sim.pause(driver, time);
            }
            mesh.sim.store.down = false;
        }
        (Step::RaceSubmission(command), _) => {
            mesh.sim.store.down = true;
            mesh.run_until_submission();
            mesh.accept_directly(&command.change());
            mesh.sim.store.down = false;
            mesh.sim.wake_watches();
        }
        (Step::Command(node, command), _) => mesh.command(node, command.change()),
        (Step::Store { down, lost }, _) => {
            (mesh.sim.store.down, mesh.sim.store.lost) = (down, lost);
        }
        (_, None) => {}
    }
}

/// Returns the number of ramp steps after which a rollout has its current shares.
fn completed_steps(rollout: &Rollout) -> usize {
    let shares = (rollout.share.get(), rollout.non_idempotent_share.get());
    let is_here = |step: &RampStep| (step.share.get(), step.non_idempotent_share.get()) == shares;
    let steps = RampStep::ALL.iter().position(is_here).map(|index| index + 1);
    steps.or((shares == (0, 0)).then_some(0)).expect("the shares of a step")
}

fn check_transition(before: &Rollout, after: &Rollout) {
    use RolloutPhase::{Completed, Held, Ramping, RolledBack};
    let is_resumed = &*after.reason == "resumed by an operator";
    let rise = completed_steps(after) as i64 - completed_steps(before) as i64;
    let is_allowed = before == after
        || match (before.phase, after.phase) {
            (Ramping, Ramping) => rise == 1 || (rise == 0 && is_resumed),
            (Ramping, Completed) => rise == 1 && completed_steps(after) == RampStep::ALL.len(),
            (Ramping | Held, Held) | (Held, Ramping) => rise == 0,
            (Ramping | Held | Completed, RolledBack) => completed_steps(after) == 0,
            _ => false,
        };
    assert!(is_allowed, "{before:?} was followed by {after:?}");
}

/// Guards against a step that is taken twice, skipped, undone or taken during a hold, when
/// drivers stop, are paused, lose the store or compete with operators.
#[test]
fn steps_under_faults() {
    fn property(scenario: Scenario) {
        let mut mesh = RolloutMesh::new(scenario.seed);
        mesh.failure_percent = scenario.failure_percent;
        for (step, gap) in &scenario.steps {
            apply(&mut mesh, *step);
            mesh.run(*gap);
        }
        mesh.run(30);
        let values = &mesh.sim.store.values;
        let rollouts: Vec<_> =
            values.iter().filter_map(|v| v.content.rollouts.get("bays")).collect();
        rollouts.windows(2).for_each(|pair| check_transition(pair[0], pair[1]));
    }
    checker(30).quickcheck(property as fn(Scenario));
}

/// Returns whether the snapshot of a node sends calls to v2.
fn takes_calls(mesh: &RolloutMesh, node: usize) -> bool {
    let snapshot = mesh.sim.control(node).snapshot();
    ["lookup", "book"].iter().any(|route| {
        let split = snapshot.split(&name(route)).expect("a split");
        split.stable.to_string() == "v2" || split.canary.is_some()
    })
}

/// Guards against a stopped version that gets calls before an operator clears the mark: through
/// a node that gets the mark late, while the store is down, or after restarts.
#[test]
fn stop_mark_ends_traffic() {
    fn property(CaseValues([seed, at, node, is_down]): CaseValues) {
        let node = (node % NODES as u64) as usize;
        let mut mesh = RolloutMesh::new(seed);
        mesh.run(at % (ROLLOUT_MILLIS / 1_000 + 60));
        mesh.sim.store.down = is_down % 2 == 0;
        let marks = vec![stop_mark("bays", "v2")];
        mesh.sim.event(node, Event::VersionFailed { marks, reason: "it failed".into() });
        mesh.run(4);
        assert!((0..NODES).all(|node| !takes_calls(&mesh, node)), "calls after 4 s");
        for restarted in 0..NODES {
            mesh.restart(restarted, 1_000);
            mesh.run(10);
            assert!((0..NODES).all(|node| !takes_calls(&mesh, node)), "calls after a restart");
        }
        mesh.sim.store.down = false;
        mesh.sim.wake_watches();
        mesh.run(30);
        assert!((0..NODES).all(|node| !takes_calls(&mesh, node)), "calls with the store");
        let stopped = ServerVersion { service: name("bays"), version: name("v2") };
        mesh.command(node, Change::ClearStop(stopped));
        mesh.run(4);
        let has_stops = |node| !mesh.sim.control(node).snapshot().stops.is_empty();
        assert!(!(0..NODES).any(has_stops), "a mark outlives the command that clears it");
        assert_eq!(mesh.phase(), RolloutPhase::RolledBack);
    }
    checker(15).quickcheck(property as fn(CaseValues));
}

/// Returns a hundred calls with the same outcome at a backend server.
fn counted_at_backend(version: &str, outcome: CallOutcome) -> CountedCalls {
    CountedCalls {
        at: CountingRole::Backend,
        service: name("bays"),
        route: name("lookup"),
        version: name(version),
        outcome,
        latency: Micros::new(20_000),
        calls: 100,
    }
}

/// Guards against a stop that is delayed by a pending step. The store is down, so a step is
/// submitted every 6 s, and the evidence arrives at different times in between.
#[test]
fn stop_during_submission() {
    for offset in 0..6 {
        let mut mesh = RolloutMesh::new(offset);
        mesh.sim.store.down = true;
        mesh.sim.run(10_000 + offset * 1_000);
        let driver = mesh.driver().expect("a driver");
        let to_window = mesh.sim.wall().get() % Window::LENGTH.get();
        mesh.sim.run(Window::LENGTH.get() - to_window);
        let failed = [("v1", CallOutcome::Answered), ("v2", CallOutcome::Failed)];
        let failed = failed.map(|(version, outcome)| counted_at_backend(version, outcome));
        mesh.sim.event(driver, Event::CallsCounted(failed.into()));
        mesh.sim.run(Window::LENGTH.get() + EVALUATION_DELAY_MILLIS);
        let stops = mesh.sim.control(driver).snapshot().stops;
        assert!(!stops.is_empty(), "no mark, offset {offset} s");
    }
}

/// Guards against a rollout that misses its deadline or loses its evidence when its driver
/// stops.
#[test]
fn good_version_completes() {
    fn property(CaseValues([seed, dies_at, down, _]): CaseValues) {
        let mut mesh = RolloutMesh::new(seed);
        let dies_at = dies_at % (ROLLOUT_MILLIS / 1_000);
        mesh.counts_at_entries = true;
        mesh.run(dies_at);
        if let Some(driver) = mesh.driver() {
            mesh.restart(driver, down % MAX_DOWNTIME_MILLIS);
        }
        mesh.run(ROLLOUT_MILLIS / 1_000 - dies_at);
        assert_eq!(mesh.phase(), RolloutPhase::Completed, "{:?}", mesh.rollout());
        assert!(mesh.rollout().changed <= mesh.rollout().deadline);
    }
    checker(12).quickcheck(property as fn(CaseValues));
}

/// Guards against a failing version that stays in use when its driver stops. The next driver has
/// only the reports of the backend servers' nodes, since no entry node counts calls here.
#[test]
fn failing_version_rolled_back() {
    fn property(CaseValues([seed, fails_at, dies_after, down]): CaseValues) {
        let mut mesh = RolloutMesh::new(seed);
        mesh.run(fails_at % (ROLLOUT_MILLIS / 1_000));
        mesh.failure_percent = 30;
        mesh.run(dies_after % 30);
        if let Some(driver) = mesh.driver() {
            mesh.restart(driver, down % MAX_DOWNTIME_MILLIS);
        }
        mesh.run(90);
        assert_eq!(mesh.phase(), RolloutPhase::RolledBack, "{:?}", mesh.rollout());
    }
    checker(12).quickcheck(property as fn(CaseValues));
}

/// Guards against a restarted driver that lacks the earlier evidence: after a restart too short
/// to be declared dead, after a second one, and after a full report was lost.
#[test]
fn full_report_after_driver_restarts() {
    for (seed, loses_reports) in [(1, false), (2, false), (3, true), (4, true)] {
        let mut mesh = RolloutMesh::new(seed);
        let driver = mesh.driver().expect("a driver");
        let backend = (driver + 1) % NODES;
        let answered = vec![counted_at_backend("v1", CallOutcome::Answered)];
        mesh.sim.event(backend, Event::CallsCounted(answered));
        mesh.sim.run(40_000);
        for restart in 0..2 {
            mesh.sim.reports.clear();
            mesh.sim.stop(driver);
            mesh.sim.run(500);
            mesh.sim.start(driver);
            mesh.sim.loses_reports = loses_reports;
            mesh.sim.run(3_000);
            mesh.sim.loses_reports = false;
            mesh.sim.run(15_000);
            mesh.sim.reports.retain(|(to, report)| *to == driver && !report.cells.is_empty());
            let arrived = mesh.sim.reports.len();
            assert!(arrived > 0, "seed {seed}: no full report after restart {restart}");
        }
    }
}

/// Guards against the counts of a restarted node being merged with its earlier ones, or never
/// reaching the driver.
#[test]
fn report_after_node_restarts() {
    let mut mesh = RolloutMesh::new(1);
    let driver = mesh.driver().expect("a driver");
    let backend = (driver + 1) % NODES;
    for _ in 0..2 {
        let answered = vec![counted_at_backend("v1", CallOutcome::Answered)];
        mesh.sim.event(backend, Event::CallsCounted(answered));
        mesh.sim.run(2_000);
        mesh.sim.stop(backend);
        mesh.sim.start(backend);
        mesh.sim.run(8_000);
    }
    let reports =
        mesh.sim.reports.iter().filter(|(to, report)| *to == driver && !report.cells.is_empty());
    let processes: BTreeSet<_> = reports.map(|(_, report)| report.incarnation).collect();
    assert_eq!(processes.len(), 2);
}
