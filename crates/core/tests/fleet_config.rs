//! Lookup of routes, weights of destinations and refused configurations.

mod fleet_common;

use almondsail_core::fleet::{
    ConfigProblem, Destination, MeshConfig, MeshConfigBuilder, MeshRoute, ServiceSettings,
};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::units::Millis;
use almondsail_seeded::properties;
use fleet_common::route;

fn build(routes: impl IntoIterator<Item = MeshRoute>) -> Result<MeshConfig, ConfigProblem> {
    let builder = MeshConfigBuilder::new(ConfigVersion::new(1))
        .service("bays".parse().unwrap(), ServiceSettings { connections: 1, ..Default::default() });
    routes.into_iter().fold(builder, MeshConfigBuilder::route).build()
}

fn found(config: &MeshConfig, host: &str, path: &str) -> Option<String> {
    config.route(host, path).map(|route| route.name.to_string())
}

/// Guards against a call that goes to a route with a shorter prefix.
#[test]
fn route_longest_prefix() {
    let config = build([route("short", "/a/", "bays"), route("long", "/a/b/", "bays")]).unwrap();
    assert_eq!(found(&config, "a.example", "/a/b/c"), Some("long".to_owned()));
    assert_eq!(found(&config, "a.example", "/a/bc/"), Some("short".to_owned()));
    assert_eq!(found(&config, "a.example", "/a"), None);
    assert_eq!(found(&config, "a.example", "/ab/"), None);
}

/// Guards against a slash in the query that is taken for a part of the path.
#[test]
fn route_slash_in_query() {
    let config = build([route("r", "/a/b/", "bays")]).unwrap();
    assert_eq!(found(&config, "a.example", "/a/?x=/a/b/"), None);
}

/// Guards against a host with a port or capitals that finds no route.
#[test]
fn route_host_forms() {
    let config = build([route("r", "/", "bays")]).unwrap();
    assert_eq!(found(&config, "A.Example:8080", "/x"), Some("r".to_owned()));
    assert_eq!(found(&config, "b.example", "/x"), None);
}

/// Guards against a configuration that is put in force although a part of it is bad.
#[test]
fn build_bad_routes() {
    let good = || route("r", "/a/", "bays");
    let no_attempts = MeshRoute { max_attempts: 0, ..good() };
    let no_timeout = MeshRoute { timeout: Millis::new(0), ..good() };
    let no_destination = MeshRoute { destinations: Vec::new(), ..good() };
    let cases: Vec<(Vec<MeshRoute>, &str)> = vec![
        (vec![route("r", "a/", "bays")], "prefix"),
        (vec![route("r", "/a", "bays")], "prefix"),
        (vec![no_attempts], "attempt"),
        (vec![no_timeout], "time-out"),
        (vec![no_destination], "destination"),
        (vec![route("r", "/a/", "other")], "not defined"),
        (vec![good(), route("s", "/a/", "bays")], "same host and prefix"),
    ];
    for (routes, problem) in cases {
        let error = build(routes).unwrap_err().to_string();
        assert!(error.contains(problem), "{error} does not mention {problem}");
    }
}

/// Guards against a sum of weights that overflows, for which a process ends or calls go to another
/// service.
#[test]
fn destination_largest_weights() {
    let names = ["s0", "s1", "s2"];
    let destination =
        |name: &&str| Destination { service: name.parse().unwrap(), weight: u32::MAX };
    let destinations = names.iter().map(destination).collect();
    let route = MeshRoute { destinations, ..route("r", "/", "bays") };
    let third = route.weight() / 3;
    for (n, name) in names.iter().enumerate() {
        assert_eq!(route.destination(third * n as u64).as_str(), *name);
        assert_eq!(route.destination(third * (n as u64 + 1) - 1).as_str(), *name);
    }
}

properties! {
    /// Guards against destinations that get more or fewer calls than their weight.
    fn destination_any_weights(weights: Vec<u8>) -> bool {
        let name = |n: usize| format!("s{n}").parse().unwrap();
        let destinations: Vec<Destination> = weights
            .iter()
            .enumerate()
            .map(|(n, weight)| Destination { service: name(n), weight: u32::from(*weight) })
            .collect();
        let route = MeshRoute { destinations, ..route("r", "/", "bays") };
        let mut counts = vec![0_u8; weights.len()];
        for draw in 0..route.weight() {
            let chosen = route.destination(draw).to_string();
            counts[chosen[1..].parse::<usize>().unwrap()] += 1;
        }
        counts == weights
    }
}
