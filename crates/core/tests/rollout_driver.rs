//! Tests of the rollout steps and of the driver's decisions.

mod rollout_common;

use almondsail_core::config::{Change, RolloutPhase};
use almondsail_core::rollout::{
    BadCalls, CallStats, Driver, NoticeKind, Ramp, RampDecision, RampStep, RouteFinding,
    RouteVerdict, Window,
};
use almondsail_core::units::{Millis, PerMille};
use rollout_common::{
    Behaviour, GOOD, RolloutSimulation, SERVICE, START, after, content, name, runner,
};

const HOUR: u64 = 3_600_000;
const FAILING: Behaviour = Behaviour { failure_rate: 0.3, ..GOOD };

/// Simulates `windows` windows, or fewer if the rollout stops ramping.
fn run(
    simulation: &mut RolloutSimulation,
    windows: u64,
    calls: u32,
    new: impl Fn(usize) -> Behaviour,
) {
    for _ in 0..windows {
        if simulation.phase() != RolloutPhase::Ramping {
            break;
        }
        simulation.run_window(calls, |_| GOOD, &new);
    }
}

/// Guards against a good version that is rolled back or misses its deadline.
#[test]
fn decide_good_version_completes_in_time() {
    fn property(seed: u64, minutes: u8, calls: u8) -> bool {
        let span = (10 + u64::from(minutes % 50)) * 60_000;
        let mut simulation = RolloutSimulation::new(content(2, 1, span), seed);
        run(&mut simulation, span / 10_000, u32::from(calls), |_| GOOD);
        simulation.phase() == RolloutPhase::Completed && simulation.rollout().changed <= after(span)
    }
    runner().quickcheck(property as fn(_, _, _) -> _);
}

/// Guards against a share that grows while an operator holds the rollout.
#[test]
fn decide_held_never_steps() {
    fn property(seed: u64, held_at: u8, calls: u8) -> bool {
        let mut simulation = RolloutSimulation::new(content(2, 1, HOUR / 2), seed);
        run(&mut simulation, u64::from(held_at % 60), u32::from(calls), |_| GOOD);
        if simulation.phase() != RolloutPhase::Ramping {
            return true;
        }
        simulation.apply(&Change::HoldRollout(name(SERVICE)));
        let shares = (simulation.rollout().share, simulation.rollout().non_idempotent_share);
        for _ in 0..200 {
            simulation.run_window(u32::from(calls), |_| GOOD, |_| GOOD);
        }
        shares == (simulation.rollout().share, simulation.rollout().non_idempotent_share)
            && simulation.has_notice(NoticeKind::Held)
            && simulation.has_notice(NoticeKind::Late)
    }
    runner().quickcheck(property as fn(_, _, _) -> _);
}

/// Guards against a bad version that stays in use because an operator holds the rollout.
#[test]
fn decide_held_rolls_back() {
    let mut simulation = RolloutSimulation::new(content(1, 1, HOUR), 1);
    run(&mut simulation, 20, 500, |_| GOOD);
    simulation.apply(&Change::HoldRollout(name(SERVICE)));
    for _ in 0..20 {
        simulation.run_window(500, |_| GOOD, |_| FAILING);
    }
    assert_eq!(simulation.phase(), RolloutPhase::RolledBack);
    assert!(simulation.has_notice(NoticeKind::RolledBack));
}

/// Guards against stop marks that are lost, and against a step after a stop.
#[test]
fn decide_stops_only_grow() {
    fn property(seed: u64, bad_from: u8) -> bool {
        let mut simulation = RolloutSimulation::new(content(2, 1, HOUR / 2), seed);
        for window in 0..200 {
            let new = if window < u64::from(bad_from) { GOOD } else { FAILING };
            let before = simulation.content.stops.clone();
            simulation.run_window(100, |_| GOOD, |_| new);
            let has_traffic = simulation.rollout().share > PerMille::ZERO;
            if !simulation.content.stops.is_superset(&before)
                || (!simulation.content.stops.is_empty() && has_traffic)
            {
                return false;
            }
        }
        simulation.content.stops.is_empty() != (simulation.phase() == RolloutPhase::RolledBack)
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against a step that is applied twice, or on a later state of the rollout than it was
/// decided on, when a driver was paused in between.
#[test]
fn decide_stale_step_is_refused() {
    fn property(seed: u64, steps: u8) -> bool {
        let mut simulation = RolloutSimulation::new(content(2, 1, HOUR / 2), seed);
        let mut taken: Vec<Change> = Vec::new();
        for _ in 0..u64::from(steps) % 60 + 30 {
            if simulation.phase() == RolloutPhase::Ramping {
                taken.extend(simulation.run_window(200, |_| GOOD, |_| GOOD).changes);
            }
            if taken.iter().any(|change| change.apply(&simulation.content, simulation.now).is_ok())
            {
                return false;
            }
        }
        !taken.is_empty()
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against decisions that depend on the driver's own history: a new driver would differ.
#[test]
fn decide_new_driver_agrees() {
    fn property(seed: u64, windows: u8) -> bool {
        let mut simulation = RolloutSimulation::new(content(2, 1, HOUR / 2), seed);
        for _ in 0..u64::from(windows) {
            let mut fresh = Driver::new(name(SERVICE));
            let before = simulation.content.clone();
            let decision = simulation.run_window(
                200,
                |_| GOOD,
                |index| if index == 0 { GOOD } else { FAILING },
            );
            let other = fresh.decide(&before, &simulation.evidence, simulation.now);
            if decision.changes != other.changes {
                return false;
            }
        }
        true
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against steps that are skipped, lower a share or move non-idempotent calls too early.
#[test]
fn decide_steps_in_order() {
    let mut simulation = RolloutSimulation::new(content(2, 1, HOUR / 2), 2);
    let mut steps = Vec::new();
    while simulation.phase() == RolloutPhase::Ramping && simulation.now < after(HOUR) {
        for change in simulation.run_window(500, |_| GOOD, |_| GOOD).changes {
            if let Change::StepRollout { share, non_idempotent_share, .. } = change {
                steps.push(RampStep { share, non_idempotent_share });
            }
        }
    }
    assert_eq!(steps, RampStep::ALL);
    let early = steps.iter().filter(|step| step.share.get() < 50);
    assert!(early.into_iter().all(|step| step.non_idempotent_share == PerMille::ZERO));
}

/// Guards against a rollout without evidence that ends late or without an early notice.
#[test]
fn decide_no_calls_warns_and_completes() {
    let mut simulation = RolloutSimulation::new(content(1, 1, HOUR), 3);
    while simulation.now < after(HOUR / 4 * 3) {
        simulation.decide();
        simulation.now = simulation.now + Millis::new(1_000);
    }
    assert!(!simulation.has_notice(NoticeKind::WillBeLate));
    simulation.decide();
    assert!(simulation.has_notice(NoticeKind::WillBeLate));
    while simulation.now < after(HOUR) {
        simulation.decide();
        simulation.now = simulation.now + Millis::new(1_000);
    }
    assert_eq!(simulation.phase(), RolloutPhase::Completed);
    assert!(
        simulation.rollout().reason.contains("evidence is incomplete"),
        "{}",
        simulation.rollout().reason
    );
}

/// Guards against a very short rollout that misses its deadline because steps are too far apart.
#[test]
fn decide_short_deadline() {
    for span in [10_000, 30_000, 60_000, 120_000] {
        let mut simulation = RolloutSimulation::new(content(1, 1, span), 4);
        while simulation.now < after(span) && simulation.phase() == RolloutPhase::Ramping {
            simulation.decide();
            simulation.now = simulation.now + Millis::new(100);
        }
        assert_eq!(simulation.phase(), RolloutPhase::Completed, "span {span} ms");
    }
}

/// Guards against a driver that starts shortly before the deadline and takes all steps at once.
#[test]
fn decide_late_driver_steps_slowly() {
    let mut simulation = RolloutSimulation::new(content(1, 1, HOUR), 5);
    simulation.decide();
    simulation.now = after(HOUR - 20_000);
    let steps: usize = (0..200)
        .map(|_| {
            simulation.now = simulation.now + Millis::new(100);
            simulation.decide().changes.len()
        })
        .sum();
    assert_eq!(steps, 1);
    simulation.now = after(HOUR);
    simulation.decide();
    assert!(simulation.has_notice(NoticeKind::Late));
}

/// Guards against a version without running backend servers that gets all calls at the deadline.
#[test]
fn decide_absent_version_is_held() {
    let mut simulation = RolloutSimulation::new(content(1, 1, HOUR / 2), 6);
    simulation.decide();
    let cell = |window: u64| {
        let stats = CallStats { calls: 5_000, ..Default::default() };
        (window, rollout_common::route(0), "v1", stats)
    };
    while simulation.now < after(HOUR / 2) {
        let window = Window::at(simulation.now).get();
        simulation.now = simulation.now + Window::LENGTH;
        simulation
            .evidence
            .merge(&rollout_common::report("node-1", window, [cell(window)]), simulation.now);
        simulation.decide();
    }
    assert_eq!(simulation.phase(), RolloutPhase::Ramping);
    assert!(
        simulation.has_notice(NoticeKind::Held) && simulation.has_notice(NoticeKind::WillBeLate)
    );
}

/// Guards against a version that goes bad in the hour after its rollout and stays in use.
#[test]
fn decide_bad_after_completion() {
    let mut simulation = RolloutSimulation::new(content(1, 1, HOUR / 2), 7);
    run(&mut simulation, 180, 200, |_| GOOD);
    assert_eq!(simulation.phase(), RolloutPhase::Completed);
    for _ in 0..60 {
        simulation.run_window(200, |_| GOOD, |_| GOOD);
    }
    assert_eq!(simulation.phase(), RolloutPhase::Completed);
    assert!(simulation.has_notice(NoticeKind::Done));
    for _ in 0..6 {
        simulation.run_window(200, |_| GOOD, |_| FAILING);
    }
    assert_eq!(simulation.phase(), RolloutPhase::RolledBack);
    let reason = &simulation.rollout().reason;
    // The figures are those of the time in which only the new version had calls, some of which
    // failed.
    let figures: Vec<u64> = reason.split(' ').filter_map(|word| word.parse().ok()).collect();
    assert!(figures.len() == 4 && figures[0] >= 30 && figures[0] < figures[1], "{reason}");
}

/// Guards against a rollback because of an overload when the old version has no calls to compare.
#[test]
fn decide_overload_after_completion() {
    let mut simulation = RolloutSimulation::new(content(1, 1, HOUR / 2), 8);
    run(&mut simulation, 180, 200, |_| GOOD);
    for _ in 0..30 {
        simulation.run_window(200, |_| GOOD, |_| Behaviour { refusals_per_call: 0.05, ..FAILING });
    }
    assert_eq!(simulation.phase(), RolloutPhase::Completed);
}

/// Guards against a step that exposes many more calls than were judged before.
#[test]
fn decide_step_is_bounded_by_judged_calls() {
    let content = content(1, 1, HOUR);
    let mut rollout = rollout_common::rollout(&content).clone();
    rollout.share = RampStep::ALL[0].share;
    let finding = RouteFinding {
        route: rollout_common::route(0),
        is_idempotent: true,
        verdict: RouteVerdict::NoWorse,
        has_warning: false,
        judged_calls: 200,
        step_calls: 200,
        old_step_calls: 20_000,
        new: BadCalls { calls: 200, bad: 0 },
        old: BadCalls { calls: 20_000, bad: 0 },
    };
    // 2% of 1,000,000 calls a minute are 6,666 calls in the 20 s until failures are detected.
    let decide = |judged_calls, millis| {
        let findings = std::slice::from_ref(&finding);
        let calls_per_minute = [1_000_000, 0];
        Ramp { rollout: &rollout, findings, judged_calls, calls_per_minute }.decide(after(millis))
    };
    assert_eq!(decide(800, 300_000), RampDecision::Wait);
    assert_eq!(decide(900, 300_000), RampDecision::StepOnEvidence(RampStep::ALL[1]));
    assert_eq!(decide(800, HOUR / 2), RampDecision::StepOnTime(RampStep::ALL[1]));
}

/// Guards against a version that is bad from the start and gets many calls before its rollback.
#[test]
fn decide_bad_at_once_touches_few_calls() {
    for seed in 0..10 {
        let mut simulation = RolloutSimulation::new(content(2, 1, HOUR), seed);
        run(&mut simulation, 360, 1_000, |_| FAILING);
        assert_eq!(simulation.phase(), RolloutPhase::RolledBack, "seed {seed}");
        assert!(simulation.new_calls < 200, "seed {seed}: {} calls", simulation.new_calls);
    }
}

/// Guards against a change or a notice for a service without a rollout.
#[test]
fn decide_no_rollout() {
    let mut content = content(1, 1, HOUR);
    content.rollouts.clear();
    let decision = Driver::new(name(SERVICE)).decide(&content, &Default::default(), START);
    assert!(decision.changes.is_empty() && decision.notices.is_empty());
}
