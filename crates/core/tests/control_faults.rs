//! Property tests of several `Control`s under faults.

mod common;

use std::collections::BTreeSet;

use almondsail_core::config::StopMark;
use almondsail_core::control::{Event, RequestId};
use almondsail_core::ids::WriteId;
use almondsail_core::peers::PeerStatus;
use almondsail_core::store::Outcome;
use common::{Sim, checker, create_service, create_version, stop_mark, submission};
use quickcheck::{Arbitrary, Gen};

/// One step of a scenario. A fault lasts until the scenario ends or another step of the same
/// kind replaces it.
#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u64),
    Network { loss: u32, duplication: u32, delay: u64 },
    Cut(u8),
    Pause(usize, u64),
    Restart(usize, u64),
    Store { down: bool, lost: u32, stale: u32 },
    Submit(usize),
    Race,
    Stop(usize, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut draw = |bound: u64| u64::arbitrary(g) % bound;
        let node = draw(16) as usize;
        match draw(12) {
            0 => Self::Wait(draw(6_000)),
            1 => {
                let (loss, duplication) = (draw(25) as u32, draw(30) as u32);
                Self::Network { loss, duplication, delay: 1 + draw(200) }
            }
            2 => Self::Cut(draw(256) as u8),
            3 => Self::Pause(node, draw(9_000)),
            4 | 5 => Self::Restart(node, draw(3_000)),
            6 => {
                let (lost, stale) = (draw(60) as u32, draw(60) as u32);
                Self::Store { down: draw(3) == 0, lost, stale }
            }
            7..=9 => Self::Submit(node),
            10 => Self::Race,
            _ => Self::Stop(node, draw(6) as u8),
        }
    }
}

/// A random sequence of faults and submissions.
#[derive(Debug, Clone)]
struct Scenario {
    nodes: usize,
    seed: u64,
    /// Steps, each with the milliseconds that pass after it.
    steps: Vec<(Step, u64)>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let nodes = 2 + usize::arbitrary(g) % 6;
        let steps: Vec<(Step, u16)> = Vec::arbitrary(g);
        let steps = steps.into_iter().map(|(step, gap)| (step, u64::from(gap) % 1_500)).collect();
        Self { nodes, seed: u64::arbitrary(g), steps }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let scenario = self.clone();
        let without = move |index| {
            let mut shorter = scenario.clone();
            shorter.steps.remove(index);
            shorter
        };
        Box::new((0..self.steps.len()).map(without))
    }
}

/// A simulation that has run a scenario. Prints the scenario when a property fails.
struct Execution {
    scenario: Scenario,
    sim: Sim,
    /// Node, epoch, request id and write id of each submission.
    submitted: Vec<(usize, u32, RequestId, WriteId)>,
    /// Node, epoch and mark of each stop.
    marked: Vec<(usize, u32, StopMark)>,
}

impl Drop for Execution {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed: {:?}", self.scenario);
        }
    }
}

impl Execution {
    /// Runs `scenario` and then removes all its faults.
    fn of(scenario: &Scenario) -> Self {
        let mut execution = Self {
            scenario: scenario.clone(),
            sim: Sim::new(scenario.nodes, scenario.seed),
            submitted: Vec::new(),
            marked: Vec::new(),
        };
        let sim = &mut execution.sim;
        sim.store.accept_directly(&create_service("bays"), WriteId::new([1; 16]), sim.wall());
        for version in 0..6 {
            let change = create_version("bays", &format!("v{version}"));
            sim.store.accept_directly(&change, WriteId::new([2 + version; 16]), sim.wall());
        }
        sim.run(6_500);
        let mut restarts = Vec::new();
        for (number, (step, gap)) in scenario.steps.iter().enumerate() {
            execution.apply(*step, number, &mut restarts);
            execution.run(*gap, &mut restarts);
        }
        execution.heal(&mut restarts);
        execution
    }

    fn apply(&mut self, step: Step, number: usize, restarts: &mut Vec<(u64, usize)>) {
        let sim = &mut self.sim;
        let count = sim.nodes.len();
        match step {
            Step::Wait(time) => self.run(time, restarts),
            Step::Network { loss, duplication, delay } => {
                (sim.loss, sim.duplication, sim.delay) = (loss, duplication, delay);
            }
            Step::Cut(mask) => sim.cut_off((0..count).filter(|i| mask >> i & 1 == 1).collect()),
            Step::Pause(node, time) => sim.pause(node % count, time),
            Step::Restart(node, time) => {
                sim.stop(node % count);
                restarts.retain(|(_, other)| *other != node % count);
                restarts.push((sim.now + time * 1_000, node % count));
            }
            Step::Store { down, lost, stale } => {
                (sim.store.down, sim.store.lost, sim.store.stale) = (down, lost, stale);
            }
            Step::Submit(node) => {
                let change = create_service(&format!("s{number}"));
                let change = submission(number as u64, change);
                let (node, write_id) = (node % count, change.write_id);
                let id = sim.submit(node, change);
                self.submitted.push((node, sim.nodes[node].epoch, id, write_id));
            }
            Step::Race => {
                let write_id = WriteId::new([100 + number as u8; 16]);
                sim.store.accept_directly(
                    &create_service(&format!("r{number}")),
                    write_id,
                    sim.wall(),
                );
                sim.wake_watches();
            }
            Step::Stop(node, version) => {
                let node = node % count;
                let mark = stop_mark("bays", &format!("v{version}"));
                let (marks, reason) = (vec![mark.clone()], "it failed".into());
                sim.event(node, Event::VersionFailed { marks, reason });
                self.marked.push((node, sim.nodes[node].epoch, mark));
            }
        }
    }

    fn run(&mut self, millis: u64, restarts: &mut Vec<(u64, usize)>) {
        let end = self.sim.now + millis * 1_000;
        restarts.sort_unstable();
        while let Some((at, node)) = restarts.first().copied().filter(|(at, _)| *at <= end) {
            restarts.remove(0);
            self.sim.run(at.saturating_sub(self.sim.now) / 1_000);
            self.sim.start(node);
        }
        self.sim.run(end.saturating_sub(self.sim.now) / 1_000);
    }

    fn heal(&mut self, restarts: &mut Vec<(u64, usize)>) {
        let sim = &mut self.sim;
        restarts.drain(..).for_each(|(_, node)| sim.start(node));
        sim.nodes.iter_mut().for_each(|slot| slot.resume());
        (sim.loss, sim.duplication, sim.delay) = (0, 0, 2);
        sim.cut_off(BTreeSet::new());
        (sim.store.down, sim.store.lost, sim.store.stale) = (false, 0, 0);
        sim.wake_watches();
    }
}

/// Guards against a node that publishes a lower, invalid or never accepted version. `Sim`
/// checks each publication, also across restarts.
#[test]
fn publish_under_faults() {
    fn property(scenario: Scenario) {
        let mut execution = Execution::of(&scenario);
        execution.sim.run(4_000);
    }
    checker(100).quickcheck(property as fn(Scenario));
}

/// Guards against a node that lacks the newest version after the faults. If no node knows its
/// version floor, the nodes wait 5 s for one that does before they publish.
#[test]
fn converge_after_faults() {
    fn property(scenario: Scenario) {
        let mut execution = Execution::of(&scenario);
        let sim = &mut execution.sim;
        let has_settled =
            (0..scenario.nodes).any(|index| sim.control(index).status().is_floor_settled);
        sim.run(4_000);
        let newest = sim.newest();
        for index in 0..scenario.nodes {
            let held = sim.control(index).status().held;
            assert!(held >= newest, "node {index} holds {held}, not {newest}");
        }
        sim.run(if has_settled { 0 } else { 2_000 });
        for index in 0..scenario.nodes {
            let published = sim.published(index);
            assert!(published >= newest, "node {index} has {published}, not {newest}");
        }
    }
    checker(100).quickcheck(property as fn(Scenario));
}

/// Guards against a reported outcome that differs from what the store accepted, which lost
/// replies and late writes can cause.
#[test]
fn submit_outcome_matches_store() {
    fn property(scenario: Scenario) {
        let mut execution = Execution::of(&scenario);
        execution.sim.run(8_000);
        for (node, epoch, id, write_id) in &execution.submitted {
            let slot = &execution.sim.nodes[*node];
            let version = execution.sim.store.values.iter().find(|cfg| cfg.write_id == *write_id);
            match slot.outcomes.get(id) {
                Some(Outcome::Accepted(at)) => {
                    assert_eq!(version.map(|cfg| cfg.version), Some(*at));
                }
                Some(Outcome::Refused(why)) => assert_eq!(version, None, "refused: {why}"),
                Some(Outcome::Unknown(id)) => assert_eq!(id, write_id),
                None => assert_ne!(slot.epoch, *epoch, "no outcome"),
                other => panic!("{other:?}"),
            }
        }
    }
    checker(100).quickcheck(property as fn(Scenario));
}

/// Guards against a live node that stays declared dead after faults.
#[test]
fn peers_alive_after_faults() {
    fn property(scenario: Scenario) {
        let mut execution = Execution::of(&scenario);
        execution.sim.run(20_000);
        for index in 0..scenario.nodes {
            let peers: Vec<_> = execution.sim.control(index).peers().collect();
            assert_eq!(peers.len(), scenario.nodes, "node {index} knows too few");
            for peer in peers {
                assert_eq!(peer.status, PeerStatus::Alive, "{} at node {index}", peer.id);
            }
        }
    }
    checker(60).quickcheck(property as fn(Scenario));
}

/// Guards against a stop mark that does not reach every node or is never recorded in the store,
/// although the node that set it has not restarted.
#[test]
fn stop_marks_reach_all() {
    fn property(scenario: Scenario) {
        let mut execution = Execution::of(&scenario);
        let sim = &mut execution.sim;
        let is_kept = |(node, epoch, _): &&(usize, u32, StopMark)| {
            sim.nodes[*node].control.is_some() && sim.nodes[*node].epoch == *epoch
        };
        let kept: Vec<_> =
            execution.marked.iter().filter(is_kept).map(|(.., m)| m.clone()).collect();
        sim.run(6_000);
        for index in 0..scenario.nodes {
            let stops = sim.control(index).snapshot().stops;
            assert!(kept.iter().all(|mark| stops.contains(mark)), "node {index} has {stops:?}");
        }
        sim.run(15_000);
        let recorded = sim.store.values.last().map(|cfg| cfg.content.stops.clone());
        let recorded = recorded.unwrap_or_default();
        assert!(kept.iter().all(|mark| recorded.contains(mark)), "recorded: {recorded:?}");
        assert!((0..scenario.nodes).all(|index| sim.control(index).status().pending_stops == 0));
    }
    checker(60).quickcheck(property as fn(Scenario));
}
