//! Tests of the choice of the endpoint for a call.

use almondsail_core::ids::Incarnation;
use almondsail_core::peers::BackendState;
use almondsail_core::traffic::{Balancer, Candidate, Endpoint, EndpointLoad, LoadReport};
use almondsail_core::units::{Instant, Micros, Millis};
use almondsail_seeded::properties;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// A time at which endpoints that were first seen at 0 have ended their warm-up.
const WARM: Instant = Instant::new(60_000_000);

fn endpoint(i: usize, data_centre: &str, region: &str) -> Endpoint {
    Endpoint {
        node: format!("node-{i}").parse().expect("a name"),
        incarnation: Incarnation::new(1),
        inbound_addr: "127.0.0.1:1".parse().expect("an address"),
        data_centre: data_centre.parse().expect("a name"),
        region: region.parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        slots: 12,
        state: BackendState::Ready,
    }
}

fn near(n: usize) -> Vec<(Endpoint, EndpointLoad)> {
    (0..n).map(|i| (endpoint(i, "dc-1", "r-1"), EndpointLoad::new(Instant::new(0)))).collect()
}

fn candidates(list: &[(Endpoint, EndpointLoad)]) -> Vec<Candidate<'_>> {
    list.iter().map(|(endpoint, load)| Candidate { endpoint, load }).collect()
}

fn balancer() -> Balancer {
    let (data_centre, region) = ("dc-1".parse().expect("a name"), "r-1".parse().expect("a name"));
    Balancer { data_centre, region }
}

/// Returns how often each endpoint is chosen for `n` calls, which stay in flight if
/// `keep_in_flight`.
fn shares(
    list: &[(Endpoint, EndpointLoad)],
    now: Instant,
    n: usize,
    keep_in_flight: bool,
) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut shares = vec![0; list.len()];
    for _ in 0..n {
        let Some(chosen) = balancer().choose(now, &candidates(list), &[], &mut rng) else {
            assert!(list.is_empty(), "no choice although there are endpoints");
            break;
        };
        shares[chosen] += 1;
        if keep_in_flight {
            list[chosen].1.start();
        }
    }
    shares
}

properties! {
    /// Guards against more ejected endpoints than [`Balancer::MAX_EJECTED_SHARE`], against an
    /// endpoint that was already tried, and against no choice although an endpoint is left.
    fn choose_any_failures(failed: Vec<bool>, tried: Vec<u8>, seed: u64) -> bool {
        let list = near(failed.len());
        for ((_, load), failed) in list.iter().zip(&failed) {
            if *failed {
                load.record_unreachable(WARM);
            }
        }
        let in_use = shares(&list, WARM, 200, false).iter().filter(|n| **n > 0).count();
        let allowed = failed.len() / 2;
        let ejected = failed.iter().filter(|failed| **failed).count().min(allowed);
        assert!(in_use + ejected <= failed.len());
        assert!(failed.is_empty() || in_use > 0);
        let tried: Vec<_> = tried.iter().filter_map(|i| list.get(usize::from(*i))).collect();
        let nodes: Vec<_> = tried.iter().map(|(endpoint, _)| endpoint.node.clone()).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        match balancer().choose(WARM, &candidates(&list), &nodes, &mut rng) {
            Some(i) => !nodes.contains(&list[i].0.node),
            None => nodes.iter().collect::<std::collections::BTreeSet<_>>().len()
                >= failed.len() - ejected,
        }
    }
}

/// Guards against the ejection of every endpoint when all of them fail.
#[test]
fn choose_all_failed() {
    let list = near(10);
    for (_, load) in &list {
        load.record_unreachable(WARM);
    }
    let in_use = shares(&list, WARM, 500, false).iter().filter(|n| **n > 0).count();
    assert_eq!(in_use, 5);
}

/// Guards against a failing endpoint that is never ejected, and one that stays ejected forever.
#[test]
fn choose_failures_in_a_row() {
    let list = near(4);
    for _ in 1..EndpointLoad::MAX_CONSECUTIVE_FAILURES {
        list[0].1.record_failure(WARM);
    }
    assert!(shares(&list, WARM, 400, false)[0] > 0);
    list[0].1.record_failure(WARM);
    assert_eq!(shares(&list, WARM, 400, false)[0], 0);
    let later = WARM + EndpointLoad::BASE_EJECTION_TIME + Millis::new(1);
    assert!(shares(&list, later, 400, false)[0] > 0);
}

/// Guards against an uneven spread over equal endpoints.
#[test]
fn choose_equal_endpoints() {
    let shares = shares(&near(6), WARM, 600, true);
    assert!(shares.iter().all(|n| (85..=115).contains(n)), "{shares:?}");
}

/// Guards against an equal share of calls for a backend server that is four times slower.
#[test]
fn choose_slow_endpoint() {
    let list = near(4);
    for (i, (_, load)) in list.iter().enumerate() {
        load.succeeded(WARM, Micros::new(if i == 0 { 40_000 } else { 10_000 }));
    }
    let shares = shares(&list, WARM, 100, true);
    assert!(shares[0] * 2 < shares[1], "{shares:?}");
}

/// Guards against load from other nodes that is ignored although the endpoint reports it, and
/// against a reported load that never expires.
#[test]
fn choose_reported_load() {
    let list = near(2);
    list[0].1.record_report(WARM, LoadReport { in_flight: 30, slots: 12 });
    assert_eq!(shares(&list, WARM, 100, false)[0], 0);
    let later = WARM + Millis::new(2_000);
    assert!(shares(&list, later, 100, false)[0] > 0);
}

/// Guards against a full share of calls for a backend server that has just started.
#[test]
fn choose_cold_start() {
    let list = near(4);
    list[0].1.restart_warm_up(WARM);
    let cold = shares(&list, WARM, 80, true)[0];
    assert!(cold <= 6, "{cold}");
    let list = near(4);
    list[0].1.restart_warm_up(WARM);
    let warm = shares(&list, WARM + Balancer::WARM_UP, 80, true)[0];
    assert!(warm >= 18, "{warm}");
}

/// Guards against calls that leave the data centre while its endpoints are idle, and calls that
/// stay there although its endpoints are overloaded.
#[test]
fn choose_near_until_worse() {
    let mut list = near(2);
    list.push((endpoint(2, "dc-2", "r-1"), EndpointLoad::new(Instant::new(0))));
    list.push((endpoint(3, "dc-3", "r-2"), EndpointLoad::new(Instant::new(0))));
    assert_eq!(shares(&list, WARM, 6, true)[2..], [0, 0]);
    let spread = shares(&list, WARM, 60, true);
    assert!(spread[2] > spread[3] && spread[3] > 0, "{spread:?}");
}

/// Guards against an endpoint that never gets calls again after it was slow or refused a call.
#[test]
fn choose_recovered() {
    let list = near(3);
    for (i, (_, load)) in list.iter().enumerate() {
        load.succeeded(WARM, Micros::new(if i == 0 { 5_000_000 } else { 10_000 }));
    }
    assert_eq!(shares(&list, WARM, 100, false)[0], 0);
    let later = WARM + Millis::new(120_000);
    assert!(shares(&list, later, 100, false)[0] > 10);
    for (_, load) in &list[1..] {
        load.succeeded(later, Micros::new(10_000));
    }
    assert!(shares(&list, later, 100, false)[0] > 10);
    let list = near(3);
    list[0].1.record_refusal(WARM);
    assert_eq!(shares(&list, WARM, 100, false)[0], 0);
    assert!(shares(&list, WARM + Millis::new(2_000), 100, false)[0] > 10);
}

/// Guards against distant endpoints that seem faster because they were never called.
#[test]
fn choose_near_when_far_unknown() {
    let mut list = near(2);
    for (_, load) in &list {
        load.succeeded(WARM, Micros::new(50_000));
    }
    list.push((endpoint(2, "dc-2", "r-1"), EndpointLoad::new(Instant::new(0))));
    assert_eq!(shares(&list, WARM, 100, false)[2], 0);
}
