//! Rollouts of a fleet: steps, shares and the judgement of versions.

mod fleet_common;

use std::slice;

use almondsail_core::fleet::{
    LoadBalancer, Rollout, RolloutClock, RolloutEvidence, RolloutOrder, RolloutOutcome,
    RolloutPlan, RolloutProgress, RolloutStep, RouteEvidence, RouteKey, ServiceEndpoints,
    TrafficShift, VersionEvidence, VersionJudge, VersionRule,
};
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::{Micros, Millis, UnixMillis};
use almondsail_seeded::properties;
use fleet_common::{at, endpoint};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

fn position(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), Revision::new(revision))
}

fn order(duration: u64) -> RolloutOrder {
    RolloutOrder {
        service: "bays".parse().unwrap(),
        target: "v2".parse().unwrap(),
        duration: Millis::new(duration),
        position: position(7),
    }
}

fn micros(ms: u64) -> Micros {
    Micros::from(Millis::new(ms))
}

/// Returns evidence of `calls` calls on one route that take about `ms`, of which every `nth_slow`
/// takes eight times as long and every `nth_failed` fails; zero for none.
fn evidence(calls: u32, ms: u64, nth_slow: u32, nth_failed: u32, seed: u64) -> VersionEvidence {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut route = RouteEvidence::default();
    let is_nth = |n: u32, nth: u32| nth > 0 && n.is_multiple_of(nth);
    for n in 1..=calls {
        if is_nth(n, nth_failed) {
            route.record_failure();
            continue;
        }
        // Run times at one server vary by a factor of about two.
        let spread = rng.random_range(0.7..1.5);
        let slow = if is_nth(n, nth_slow) { 8.0 } else { 1.0 };
        route.record_answer(Micros::new((micros(ms).get() as f64 * spread * slow) as u64));
    }
    VersionEvidence { routes: [(RouteKey::new(1), route)].into() }
}

/// Guards against steps that come out of order or too late for the deadline.
#[test]
fn step_over_time() {
    let plan = RolloutPlan::new(Millis::new(15_000));
    let steps = [(0, RolloutStep::Canary), (10_700, RolloutStep::Canary)];
    let steps = steps.into_iter().chain([(10_900, RolloutStep::Quarter)]);
    let steps = steps.chain([(11_600, RolloutStep::Full), (13_100, RolloutStep::Complete)]);
    for (ms, step) in steps {
        assert_eq!(plan.step(micros(ms)), step, "after {ms} ms");
    }
}

/// Guards against a short rollout without a canary step.
#[test]
fn step_short_rollout() {
    let plan = RolloutPlan::new(Millis::new(4_000));
    assert_eq!(plan.step(micros(1_900)), RolloutStep::Canary);
    assert_eq!(plan.step(micros(3_900)), RolloutStep::Complete);
}

/// Guards against a restarted or suspended node that begins a rollout from the start.
#[test]
fn clock_after_restart() {
    let mut clock = RolloutClock::start(at(100));
    clock.advance_to(at(200), micros(9_000));
    assert_eq!(clock.elapsed(at(1_200)), micros(10_000));
    clock.advance_to(at(1_300), micros(500));
    assert_eq!(clock.elapsed(at(1_300)), micros(10_100), "the time since an order only grows");
}

/// Guards against a jump of the time of day that moves a rollout past its deadline or back.
#[test]
fn apply_progress_time_of_day_jumped() {
    let progress = |started: u64| RolloutProgress {
        service: "bays".parse().unwrap(),
        target: "v2".parse().unwrap(),
        order: position(7),
        duration: Millis::new(15_000),
        started: UnixMillis::new(started),
        outcome: None,
    };
    let mut rollout = Rollout::new(order(15_000), at(0));
    let wall = UnixMillis::new(1_000_000);
    rollout.apply_progress(&progress(1_002_000), Revision::new(9), at(100), wall);
    assert_eq!(rollout.elapsed(at(100)), micros(100));
    rollout.apply_progress(&progress(996_000), Revision::new(9), at(100), wall);
    assert_eq!(rollout.elapsed(at(100)), micros(4_000));
}

/// Guards against calls to a version that was found bad, and to the old one after completion.
#[test]
fn rule_after_each_end() {
    let mut stopped = Rollout::new(order(15_000), at(0));
    stopped.stop();
    assert_eq!(stopped.rule(), VersionRule::Except("v2".parse().unwrap()));
    let mut ended = Rollout::new(order(15_000), at(0));
    ended.to_progress(at(1), UnixMillis::new(1), Some(RolloutOutcome::Completed));
    ended.confirm_write(Revision::new(9));
    assert_eq!(ended.rule(), VersionRule::Only("v2".parse().unwrap()));
}

/// Returns evidence of an old version without calls at the time of the new one's.
fn alone(all: &VersionEvidence) -> RolloutEvidence {
    RolloutEvidence { all: all.clone(), ..RolloutEvidence::default() }
}

/// How the calls of a version end at a load peak.
#[derive(Debug, Clone, Copy)]
enum Peak {
    Slow,
    Fail,
}

/// Returns what servers of the old and of the new version observe in a rollout with a load peak in
/// its second burst, from 1.95 s to 2.45 s: `slow_old` and `slow_new` of ten calls then end as `peak`
/// says. The new version gets a fifth of the calls in bursts.
fn observe_peak(peak: Peak, slow_old: u64, slow_new: u64, seed: u64) -> (Rollout, Rollout) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut old = Rollout::new(order(15_000), at(0));
    let mut new = Rollout::new(order(15_000), at(0));
    let route = RouteKey::new(1);
    for n in 0..900_u64 {
        let began = 3 * n;
        let is_new = RolloutPlan::burst(micros(began)).is_some() && n % 5 == 0;
        let (rollout, version, bad) = match is_new {
            true => (&mut new, "v2".parse().unwrap(), slow_new),
            false => (&mut old, "v1".parse().unwrap(), slow_old),
        };
        let is_bad = (1_950..2_450).contains(&began) && n / 5 % 10 < bad;
        let ms = (200.0 * rng.random_range(0.7..1.5) * if is_bad { 8.0 } else { 1.0 }) as u64;
        match peak {
            Peak::Fail if is_bad => rollout.record_failure(at(began + 20), &version, route),
            _ => rollout.record_answer(at(began + ms), &version, route, micros(ms)),
        }
    }
    (old, new)
}

/// Guards against a good version that is rolled back because most of its calls came in the seconds
/// of a load peak, which the old version met with only some of its calls.
#[test]
fn fault_load_peak() {
    for seed in 0..100 {
        for peak in [Peak::Slow, Peak::Fail] {
            let (old, new) = observe_peak(peak, 6, 6, seed);
            let fault = VersionJudge::fault(slice::from_ref(&new.evidence().all), old.evidence());
            assert_eq!(fault, None, "{peak:?}, seed {seed}");
        }
    }
}

/// Guards against a bad version that a load peak excuses, in which the old one does better.
#[test]
fn fault_bad_version_at_load_peak() {
    for seed in 0..100 {
        for peak in [Peak::Slow, Peak::Fail] {
            let (old, new) = observe_peak(peak, 2, 10, seed);
            let fault = VersionJudge::fault(slice::from_ref(&new.evidence().all), old.evidence());
            assert!(fault.is_some(), "{peak:?}, seed {seed}");
        }
    }
}

/// Guards against rolling back good versions: on slow and fast servers, with a few slow answers,
/// with few calls.
#[test]
fn is_bad_good_versions() {
    for seed in 0..200 {
        let old = evidence(400, 200, 100, 250, seed);
        for (calls, ms) in [(2, 200), (20, 200), (80, 340), (80, 100), (200, 420)] {
            let new = evidence(calls, ms, 100, 50, seed + 1_000);
            assert!(
                VersionJudge::fault(slice::from_ref(&new), &alone(&old)).is_none(),
                "{calls} calls of {ms} ms, seed {seed}"
            );
        }
    }
}

/// Guards against rolling back a good version whose servers differ in speed by a factor of three,
/// while most calls of the old one went to its fast server.
#[test]
fn fault_servers_of_different_speed() {
    for seed in 0..200 {
        let mut old = evidence(360, 120, 0, 0, seed);
        old.add(&evidence(40, 360, 0, 0, seed + 1_000));
        let new = [evidence(24, 120, 0, 0, seed + 2_000), evidence(24, 360, 0, 0, seed + 3_000)];
        assert_eq!(VersionJudge::fault(&new, &alone(&old)), None, "seed {seed}");
    }
}

/// Guards against bad versions that are not detected: with failures, with slow answers, on a fast
/// server, with few calls.
#[test]
fn is_bad_bad_versions() {
    for seed in 0..200 {
        let old = evidence(400, 200, 100, 250, seed);
        let cases = [
            ("half fail", evidence(10, 200, 0, 2, seed)),
            ("a third fails", evidence(24, 200, 0, 3, seed)),
            ("half is slow", evidence(24, 200, 2, 0, seed)),
            ("half is slow on a fast server", evidence(24, 85, 2, 0, seed)),
            ("all are slow", evidence(24, 200, 1, 0, seed)),
        ];
        for (case, new) in cases {
            assert!(
                VersionJudge::fault(slice::from_ref(&new), &alone(&old)).is_some(),
                "{case}, seed {seed}"
            );
        }
    }
}

/// Guards against a bad route that good ones hide.
#[test]
fn is_bad_one_route() {
    let old = evidence(400, 200, 0, 0, 1);
    let mut new = evidence(400, 200, 0, 0, 2);
    let mut bad = RouteEvidence::default();
    (0..4).for_each(|_| bad.record_failure());
    bad.record_answer(micros(200));
    new.routes.insert(RouteKey::new(2), bad);
    assert!(VersionJudge::fault(slice::from_ref(&new), &alone(&old)).is_some());
}

fn endpoints_in_shift(started: u64) -> ServiceEndpoints {
    let shift = TrafficShift {
        target: "v2".parse().unwrap(),
        order: position(7),
        clock: RolloutClock::start(at(started)),
        plan: RolloutPlan::new(Millis::new(15_000)),
    };
    let endpoints = vec![endpoint("n1", "dc-a", "v1"), endpoint("n2", "dc-a", "v2")];
    ServiceEndpoints { endpoints, rule: VersionRule::Shift(shift) }
}

properties! {
    /// Guards against a canary that gets more than its share before the quarter step, at any load
    /// and with any restarts of nodes. A bad version may get a tenth of the calls plus 50.
    fn sends_to_new_any_load(gaps: Vec<u8>, restarts: u8) -> bool {
        let endpoints = endpoints_in_shift(0);
        let new_balancer = || LoadBalancer::new("dc-a".parse().unwrap());
        let (mut load_balancer, mut now) = (new_balancer(), at(0));
        let (mut all, mut new) = (0_u32, 0_u32);
        for (n, gap) in gaps.iter().cycle().take(2_000).enumerate() {
            now = now + Micros::new(u64::from(*gap) * 100);
            if now >= at(10_700) {
                break;
            }
            if restarts > 0 && n % 300 == usize::from(restarts) {
                load_balancer = new_balancer();
            }
            all += 1;
            new += u32::from(load_balancer.sends_to_new(now, &"bays".parse().unwrap(), &endpoints));
        }
        f64::from(new) <= 0.04 * f64::from(all) + 8.0
    }
}

/// Guards against calls to a new version that no server runs: they stay with the old one.
#[test]
fn sends_to_new_no_server() {
    let mut endpoints = endpoints_in_shift(0);
    endpoints.endpoints.pop();
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let service = "bays".parse().unwrap();
    assert!((0..100).all(|ms| !load_balancer.sends_to_new(at(11_600 + ms), &service, &endpoints)));
}
