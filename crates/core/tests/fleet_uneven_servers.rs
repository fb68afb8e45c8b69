//! Load balancing among servers that tell their rates.

mod fleet_common;

use std::collections::BTreeMap;

use almondsail_core::fleet::{
    Endpoint, LoadBalancer, LoadBalancerContext, MeshRoute, ServiceEndpoints, VersionRule,
};
use almondsail_core::ids::NodeId;
use almondsail_core::units::{Instant, Micros, Millis, Percent};
use fleet_common::{at, endpoint, route};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const CHOICES: u64 = 1_000;

/// Returns `near` endpoints of the balancer's data centre and `far` ones of another.
fn endpoints(near: usize, far: usize) -> ServiceEndpoints {
    let near = (0..near).map(|n| endpoint(&format!("near-{n}"), "dc-a", "v1"));
    let far = (0..far).map(|n| endpoint(&format!("far-{n}"), "dc-b", "v1"));
    ServiceEndpoints { endpoints: near.chain(far).collect(), rule: VersionRule::Any }
}

/// Records that calls of the route usually run for `ms` at `node`, behind `calls_ahead` others, and
/// the relative service time that its server tells.
fn record(
    balancer: &mut LoadBalancer,
    route: &MeshRoute,
    node: &Endpoint,
    (ms, calls_ahead): (u64, u32),
    service_time: Option<u32>,
) {
    let usual = Micros::from(Millis::new(ms));
    let load = balancer.load(&node.node);
    load.record_report(at(1), &route.name, calls_ahead, Some(usual));
    if let Some(service_time) = service_time {
        load.record_rate(at(1), Percent::new(service_time));
    }
    let factor = u64::from(service_time.unwrap_or(100));
    let took = Micros::new(usual.get() * factor / 100);
    load.record_run_time_at(at(1), &route.name, took, Micros::new(0));
}

/// Returns how many of [`CHOICES`] calls go to each endpoint.
fn shares(
    balancer: &LoadBalancer,
    now: Instant,
    route: &MeshRoute,
    endpoints: &ServiceEndpoints,
    tried_nodes: &[NodeId],
) -> BTreeMap<String, u64> {
    let call = LoadBalancerContext {
        route,
        target_left: route.target_latency.into(),
        deadline_left: route.timeout.into(),
        to_new: false,
        tried_nodes,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut shares = BTreeMap::new();
    for _ in 0..CHOICES {
        let chosen = balancer.choose(now, &call, endpoints, &mut rng).unwrap();
        *shares.entry(chosen.node.to_string()).or_default() += 1;
    }
    shares
}

/// Guards against all nodes that send their calls to the server that was fastest a moment ago, and
/// against another choice than before among servers that don't tell their rates.
#[test]
fn choose_without_herd() {
    for (service_time, most) in [(Some(100), CHOICES / 2), (None, CHOICES)] {
        let (route, endpoints) = (route("r", "/", "bays"), endpoints(18, 0));
        let mut balancer = LoadBalancer::new("dc-a".parse().unwrap());
        for (n, endpoint) in endpoints.endpoints.iter().enumerate() {
            let ms = if n == 0 { 60 } else { 240 };
            record(&mut balancer, &route, endpoint, (ms, 0), service_time);
        }
        let shares = shares(&balancer, at(2), &route, &endpoints, &[]);
        assert!(shares["near-0"] <= most, "{service_time:?}: {shares:?}");
        assert!(service_time.is_some() || shares["near-0"] == CHOICES, "{shares:?}");
        assert!(shares["near-0"] > CHOICES / 5, "{shares:?}");
    }
}

/// Guards against bytes for a small gain, and against calls that stay in a data centre without room
/// while another one has some.
#[test]
fn choose_other_data_centre_only_when_full() {
    for (calls_ahead, goes_far) in [(0, false), (60, true)] {
        let (route, endpoints) = (route("r", "/", "bays"), endpoints(6, 6));
        let mut balancer = LoadBalancer::new("dc-a".parse().unwrap());
        for endpoint in &endpoints.endpoints {
            let is_near = endpoint.data_centre.as_str() == "dc-a";
            let load = if is_near { (120, calls_ahead) } else { (100, 0) };
            record(&mut balancer, &route, endpoint, load, Some(100));
        }
        let shares = shares(&balancer, at(2), &route, &endpoints, &[]);
        let far: u64 = shares.iter().filter(|(node, _)| node.starts_with("far")).map(|s| s.1).sum();
        assert_eq!(far, if goes_far { CHOICES } else { 0 }, "{shares:?}");
    }
}

/// Guards against calls to a server in a slow spell, and against one that is avoided for long after
/// its spell: a report says little of the present after a second.
#[test]
fn choose_after_slow_spell() {
    let (route, endpoints) = (route("r", "/", "bays"), endpoints(2, 0));
    let mut balancer = LoadBalancer::new("dc-a".parse().unwrap());
    record(&mut balancer, &route, &endpoints.endpoints[0], (100, 0), Some(250));
    record(&mut balancer, &route, &endpoints.endpoints[1], (100, 0), Some(100));
    let in_spell = shares(&balancer, at(2), &route, &endpoints, &[]);
    let after = shares(&balancer, at(3_000), &route, &endpoints, &[]);
    // Both of six draws are the slow one in one call of 64.
    assert!(in_spell.get("near-0").is_none_or(|share| *share < CHOICES / 30), "{in_spell:?}");
    assert!(after["near-0"] > CHOICES / 3, "{after:?}");
}

/// Guards against a retry at a node that was tried, and against a call without an endpoint while
/// only silent or ejected ones are left.
#[test]
fn choose_few_left() {
    let (route, mut endpoints) = (route("r", "/", "bays"), endpoints(2, 1));
    let mut balancer = LoadBalancer::new("dc-a".parse().unwrap());
    for endpoint in &endpoints.endpoints {
        record(&mut balancer, &route, endpoint, (100, 0), Some(100));
    }
    let tried = [endpoints.endpoints[0].node.clone()];
    let left = shares(&balancer, at(2), &route, &endpoints, &tried);
    assert!(!left.contains_key("near-0"), "{left:?}");
    balancer.load(&endpoints.endpoints[1].node).record_refusal(at(2));
    endpoints.endpoints[2].is_silent = true;
    let left = shares(&balancer, at(2), &route, &endpoints, &tried);
    assert_eq!(left.values().sum::<u64>(), CHOICES, "{left:?}");
}
