//! Load balancing, retries and hedging of calls.

mod fleet_common;

use std::collections::BTreeMap;

use almondsail_core::Verdict;
use almondsail_core::fleet::{
    Attempts, CallerPipeline, FailedAttempt, Hedge, LoadBalancer, LoadBalancerContext, MeshRoute,
    NextAttempt, RetryShare, ServiceEndpoints, VersionRule,
};
use almondsail_core::ids::ServiceName;
use almondsail_core::units::{ByteCount, Instant, Micros, Millis, PerMille};
use almondsail_seeded::properties;
use fleet_common::{at, endpoint, route};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

fn service() -> ServiceName {
    "bays".parse().unwrap()
}

fn endpoints(names: &[(&str, &str)]) -> ServiceEndpoints {
    let endpoints =
        names.iter().map(|(node, data_centre)| endpoint(node, data_centre, "v1")).collect();
    ServiceEndpoints { endpoints, rule: VersionRule::Any }
}

fn choose(
    load_balancer: &LoadBalancer,
    now: Instant,
    route: &MeshRoute,
    endpoints: &ServiceEndpoints,
) -> String {
    let call = LoadBalancerContext {
        route,
        target_left: route.target_latency.into(),
        deadline_left: route.timeout.into(),
        to_new: false,
        tried_nodes: &[],
    };
    let mut rng = SmallRng::seed_from_u64(1);
    load_balancer.choose(now, &call, endpoints, &mut rng).unwrap().node.to_string()
}

/// Records in `load_balancer` that calls of the route run for `ms` at `node`, behind `calls_ahead`
/// others.
fn record_load(
    load_balancer: &mut LoadBalancer,
    node: &str,
    route: &MeshRoute,
    ms: u64,
    calls_ahead: u32,
) {
    let took = Micros::from(Millis::new(ms));
    let load = load_balancer.load(&node.parse().unwrap());
    load.record_run_time(&route.name, took, Micros::new(0));
    load.record_report(at(1), &route.name, calls_ahead, Some(took));
}

/// Guards against calls to another data centre that is only a little faster than their own.
#[test]
fn choose_own_data_centre() {
    let route = route("r", "/", "bays");
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let endpoints = endpoints(&[("near", "dc-a"), ("far", "dc-b")]);
    record_load(&mut load_balancer, "near", &route, 120, 0);
    record_load(&mut load_balancer, "far", &route, 100, 0);
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "near");
}

/// Guards against a long call at the slow server of its own data centre that delays the answers
/// behind it on its connection. With these times and targets, those of the scenario bodega-carros
/// on a calm day (deploy/days/calm.toml), 755 of 2,680 short calls were late at normal load for
/// this reason.
#[test]
fn choose_other_data_centre_when_it_holds_up_others() {
    let mut long = route("long", "/", "bays");
    long.target_latency = Millis::new(1_200);
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let endpoints = endpoints(&[("near", "dc-a"), ("far", "dc-b")]);
    record_load(&mut load_balancer, "near", &long, 607, 0);
    record_load(&mut load_balancer, "far", &long, 210, 0);
    load_balancer.record_size(&long.name, ByteCount::new(3_000));
    assert_eq!(choose(&load_balancer, at(2), &long, &endpoints), "near", "nothing is behind it");

    let mut pipeline = CallerPipeline::default();
    pipeline.target(at(2), Millis::new(500), false);
    let held_up = pipeline.target(at(65), long.target_latency, true);
    let call = LoadBalancerContext {
        route: &long,
        target_left: held_up,
        deadline_left: long.timeout.into(),
        to_new: false,
        tried_nodes: &[],
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let endpoint = load_balancer.choose(at(65), &call, &endpoints, &mut rng).unwrap();
    assert_eq!(endpoint.node.as_str(), "far");
}

/// Guards against a shorter target on a connection whose caller waits for each answer, and against
/// one that stays short after the caller has stopped sending ahead.
#[test]
fn target_every_connection() {
    let (short, long) = (Millis::new(200), Millis::new(900));
    let ms = |ms| Micros::from(Millis::new(ms));
    let mut waiting = CallerPipeline::default();
    assert_eq!(waiting.target(at(1), short, false), ms(200));
    assert_eq!(waiting.target(at(2), long, false), ms(900));

    let mut sends_ahead = CallerPipeline::default();
    assert_eq!(sends_ahead.target(at(0), long, false), ms(900), "nothing shorter was seen");
    assert_eq!(sends_ahead.target(at(80), short, true), ms(200), "its own target is the shortest");
    assert_eq!(sends_ahead.target(at(160), long, true), ms(280), "the next comes 80 ms behind it");
    assert_eq!(sends_ahead.target(at(400), long, false), ms(280), "the next may come behind it");
    assert_eq!(sends_ahead.target(at(480), long, true), ms(280));
    assert_eq!(sends_ahead.target(at(5_080), long, false), ms(900), "the short one is long past");

    let mut stopped = CallerPipeline::default();
    stopped.target(at(1), long, false);
    stopped.target(at(2), long, true);
    stopped.target(at(4_000), short, false);
    assert_eq!(stopped.target(at(5_002), long, false), ms(900), "nothing was sent ahead lately");
}

/// Guards against calls that stay at a server that makes them late.
#[test]
fn choose_other_data_centre_when_late() {
    let route = route("r", "/", "bays");
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let endpoints = endpoints(&[("near", "dc-a"), ("far", "dc-b")]);
    record_load(&mut load_balancer, "near", &route, 600, 0);
    record_load(&mut load_balancer, "far", &route, 150, 0);
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "far");
    record_load(&mut load_balancer, "near", &route, 150, 60);
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "far");
}

/// Guards against large answers from another data centre for a small gain in latency.
#[test]
fn choose_own_data_centre_for_large_answers() {
    let route = route("r", "/", "bays");
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let endpoints = endpoints(&[("near", "dc-a"), ("far", "dc-b")]);
    record_load(&mut load_balancer, "near", &route, 330, 0);
    record_load(&mut load_balancer, "far", &route, 150, 0);
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "far");
    for _ in 0..50 {
        load_balancer.record_size(&route.name, ByteCount::new(30_000));
    }
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "near");
}

/// Guards against uploads that are late at the full servers of their own data centre while servers
/// of another one are free: two of five servers got 110% of what their links carry.
#[test]
fn choose_other_data_centre_for_late_uploads() {
    let route = route("r", "/", "bays");
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let endpoints = endpoints(&[("near", "dc-a"), ("far", "dc-b")]);
    for _ in 0..50 {
        load_balancer.record_size(&route.name, ByteCount::new(65_000));
    }
    record_load(&mut load_balancer, "near", &route, 900, 0);
    record_load(&mut load_balancer, "far", &route, 150, 0);
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "far");
}

/// An answer on its way to an entry node, with the times of its call.
struct Answer {
    arrives: Instant,
    entry: usize,
    endpoint: String,
    run_time: Micros,
    way: Micros,
}

/// Returns the share of late uploads, in percent, that twenty nodes send to two endpoints: a server
/// that runs them in 80 ms behind a link that carries one upload in 50 ms, and a server that takes
/// 240 ms and has a link to itself. An upload arrives every 40 ms.
fn late_uploads(is_way_recorded: bool) -> usize {
    const UPLOADS: usize = 1_000;
    const ENTRIES: usize = 20;
    const LINK_TIME: Micros = Micros::new(50_000);
    let route = route("r", "/", "bays");
    let mut load_balancers: Vec<LoadBalancer> =
        (0..ENTRIES).map(|_| LoadBalancer::new("dc-a".parse().unwrap())).collect();
    let endpoints = endpoints(&[("fast", "dc-a"), ("slow", "dc-a")]);
    let mut link_free_at = at(0);
    let mut answers: Vec<Answer> = Vec::new();
    let mut late = 0;
    for n in 0..UPLOADS {
        let now = at(40 * n as u64);
        for answer in answers.extract_if(.., |answer| answer.arrives <= now) {
            let load = load_balancers[answer.entry].load(&answer.endpoint.parse().unwrap());
            load.record_run_time(&route.name, answer.run_time, answer.way);
            load.record_report(answer.arrives, &route.name, 0, Some(answer.run_time));
            load.record_end();
        }
        let entry = n % ENTRIES;
        let endpoint = choose(&load_balancers[entry], now, &route, &endpoints);
        load_balancers[entry].load(&endpoint.parse().unwrap()).record_sent();
        let (reached, run_time) = match endpoint.as_str() {
            "fast" => {
                link_free_at = link_free_at.max(now) + LINK_TIME;
                (link_free_at, Micros::new(80_000))
            }
            _ => (now, Micros::new(240_000)),
        };
        let way = if is_way_recorded { reached.since(now) } else { Micros::new(0) };
        let arrives = reached + run_time;
        late += usize::from(arrives > now + route.target_latency);
        answers.push(Answer { arrives, entry, endpoint, run_time, way });
    }
    100 * late / UPLOADS
}

/// Guards against uploads that all go to a fast server behind a full link: its node reports short
/// run times and few calls, while the uploads wait in the link.
#[test]
fn choose_full_link() {
    let (late, late_without) = (late_uploads(true), late_uploads(false));
    assert!(late <= 2, "{late}% late");
    assert!(late_without > 20, "{late_without}% late if the way does not count");
}

/// Guards against calls to an endpoint that can't be reached or that fails them.
#[test]
fn choose_avoids_failures() {
    let route = route("r", "/", "bays");
    let mut load_balancer = LoadBalancer::new("dc-a".parse().unwrap());
    let endpoints = endpoints(&[("near", "dc-a"), ("far", "dc-b")]);
    load_balancer.load(&"near".parse().unwrap()).record_unreachable(at(1));
    assert_eq!(choose(&load_balancer, at(2), &route, &endpoints), "far");
    assert_eq!(choose(&load_balancer, at(9_000), &route, &endpoints), "near");
    for _ in 0..4 {
        load_balancer.load(&"near".parse().unwrap()).record_failure(at(9_000));
    }
    assert_eq!(choose(&load_balancer, at(9_001), &route, &endpoints), "far");
    assert_eq!(choose(&load_balancer, at(30_000), &route, &endpoints), "near");
}

/// Guards against a retry of a call that may have run and is not idempotent, and against a retry
/// that the budget or the route does not allow. Covers all cases.
#[test]
fn after_every_failure() {
    for verdict in Verdict::ALL {
        for is_idempotent in [false, true] {
            for has_arrived in [false, true] {
                for max_arrivals in 1..=3 {
                    for has_budget in [false, true] {
                        check_after(verdict, is_idempotent, has_arrived, max_arrivals, has_budget);
                    }
                }
            }
        }
    }
}

fn check_after(
    verdict: Verdict,
    is_idempotent: bool,
    has_arrived: bool,
    max_arrivals: u32,
    has_budget: bool,
) {
    let mut budget = RetryShare::new(PerMille::MAX, 1_000, Micros::new(10_000_000));
    if has_budget {
        budget.first_arrival(at(0), &service());
        budget.first_arrival(at(5_000), &service());
    }
    let mut attempts = Attempts::new(is_idempotent, max_arrivals);
    let failed = FailedAttempt { verdict, has_arrived };
    let next = attempts.next_after_failure(at(5_000), failed, &service(), &mut budget);
    let may_run_twice = verdict == Verdict::MayHaveRun && !is_idempotent;
    let may_arrive = !has_arrived || (max_arrivals > 1 && has_budget);
    let is_retried = matches!(next, NextAttempt::Retry(_));
    assert_eq!(
        is_retried,
        !may_run_twice && may_arrive,
        "{failed:?} {is_idempotent} {max_arrivals}"
    );
    assert_eq!(
        attempts.verdict(Verdict::RefusedUnrun) == Verdict::MayHaveRun,
        verdict == Verdict::MayHaveRun,
        "an earlier attempt that may have run is forgotten"
    );
}

/// Guards against endless retries of a call that every endpoint refuses.
#[test]
fn after_refusals_without_end() {
    let mut budget = RetryShare::new(PerMille::MAX, 1_000, Micros::new(10_000_000));
    let mut attempts = Attempts::new(true, 2);
    let failed = FailedAttempt { verdict: Verdict::RefusedUnrun, has_arrived: false };
    let retries = (0..10)
        .take_while(|_| {
            matches!(
                attempts.next_after_failure(at(0), failed, &service(), &mut budget),
                NextAttempt::Retry(_)
            )
        })
        .count();
    assert_eq!(retries, 2);
}

/// Guards against hedging a call that may not arrive twice, or that the budget or the route does
/// not allow to. Covers all cases.
#[test]
fn may_hedge_every_case() {
    for is_idempotent in [false, true] {
        for max_arrivals in 1..=3 {
            for has_budget in [false, true] {
                let mut budget = RetryShare::new(PerMille::MAX, 1_000, Micros::new(10_000_000));
                if has_budget {
                    budget.first_arrival(at(0), &service());
                    budget.first_arrival(at(5_000), &service());
                }
                let mut attempts = Attempts::new(is_idempotent, max_arrivals);
                assert!(attempts.is_first_arrival());
                let is_allowed = attempts.may_hedge(at(5_000), &service(), &mut budget);
                let expected = is_idempotent && max_arrivals > 1 && has_budget;
                assert_eq!(is_allowed, expected, "{is_idempotent} {max_arrivals} {has_budget}");
                assert_eq!(attempts.is_first_arrival(), !expected);
            }
        }
    }
}

/// Guards against a hedge beyond the number of arrivals that the route allows.
#[test]
fn may_hedge_after_arrival() {
    let mut budget = RetryShare::new(PerMille::MAX, 1_000, Micros::new(10_000_000));
    budget.first_arrival(at(0), &service());
    (1..5).for_each(|s| budget.first_arrival(at(s * 5_000), &service()));
    let failed = FailedAttempt { verdict: Verdict::MayHaveRun, has_arrived: true };
    let mut attempts = Attempts::new(true, 2);
    attempts.next_after_failure(at(25_000), failed, &service(), &mut budget);
    assert!(!attempts.is_first_arrival());
    assert!(!attempts.may_hedge(at(25_000), &service(), &mut budget));
    let mut more = Attempts::new(true, 3);
    more.next_after_failure(at(25_000), failed, &service(), &mut budget);
    assert!(more.may_hedge(at(25_000), &service(), &mut budget));
}

/// Guards against a call that is said not to have run, although one of two attempts at the same time
/// may have run it.
#[test]
fn verdict_failure_beside() {
    for beside in Verdict::ALL {
        for last in Verdict::ALL {
            let mut attempts = Attempts::new(true, 3);
            attempts.record_failure_beside(beside);
            let expected = if beside == Verdict::MayHaveRun { beside } else { last };
            assert_eq!(attempts.verdict(last), expected, "{beside} {last}");
        }
    }
}

/// Guards against hedges that take the place of other calls or are answered too late.
#[test]
fn hedge_every_condition() {
    let ms = |n: u64| Micros::from(Millis::new(n));
    let hedge = Hedge { expected: ms(100), target_left: ms(500) };
    assert_eq!(hedge.delay(), ms(160));
    assert!(hedge.is_worthwhile(ms(160), ms(100), 0, 12));
    assert!(!hedge.is_worthwhile(ms(160), ms(100), 9, 12), "the second endpoint is nearly full");
    assert!(!hedge.is_worthwhile(ms(160), ms(400), 0, 12), "the copy would be late");
    assert!(!hedge.is_worthwhile(ms(450), ms(100), 0, 12), "the copy would be late");
    assert!(hedge.is_worthwhile(ms(500), ms(100), 0, 12), "the call is likely to be lost");
}

properties! {
    /// Guards against nodes that together retry more than the budget allows in some window, also
    /// when all of them restart one after the other.
    fn retry_share_any_load(nodes: u8, steps: Vec<(u8, u8, bool, u8)>) -> bool {
        const ALLOWANCE: u32 = 64;
        let nodes = usize::from(nodes % 8) + 1;
        let new_share = || {
            let window = Micros::new(10_000_000);
            let mut share = RetryShare::new(PerMille::new(200).unwrap(), ALLOWANCE, window);
            share.set_nodes(nodes as u32);
            share
        };
        let mut shares: Vec<RetryShare> = (0..nodes).map(|_| new_share()).collect();
        let mut now = at(0);
        // The first arrivals and retries at each instant.
        let mut events: BTreeMap<Instant, (u32, u32)> = BTreeMap::new();
        for (node, calls, restarts, pass) in steps {
            now = now + Millis::new(u64::from(pass) * 8);
            let share = &mut shares[usize::from(node) % nodes];
            if restarts {
                *share = new_share();
            }
            let event = events.entry(now).or_default();
            for _ in 0..calls {
                share.first_arrival(now, &service());
                event.0 += 1;
                event.1 += u32::from(share.try_acquire(now, &service()));
            }
        }
        events.keys().all(|end| {
            let start = Instant::new(end.get().saturating_sub(10_000_000));
            let in_window = events.range(start..=*end);
            let (calls, repeats) =
                in_window.fold((0, 0), |sum, (_, event)| (sum.0 + event.0, sum.1 + event.1));
            f64::from(repeats) <= 0.2 * f64::from(calls) + f64::from(ALLOWANCE)
        })
    }
}
