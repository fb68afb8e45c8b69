//! A store that gives no answer to some nodes of a fleet, and changes of the configuration meanwhile.

mod fleet_common;

use std::collections::BTreeSet;

use almondsail_core::units::{ByteCount, Instant, Millis};
use almondsail_seeded::seeds;
use fleet_common::at;
use fleet_common::simulated_fleet::{FleetShape, SimulatedFleet};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use rand::{Rng as _, SeedableRng as _};

/// Time limit for a change to be in force at every node that the store answers.
const APPLY_LIMIT: Millis = Millis::new(2_000);
/// The number of nodes, in four data centres.
const NODES: u16 = 61;
/// The bytes a second on a link of 10 Mbit/s.
const LINK: ByteCount = ByteCount::new(1_250_000);
/// The size of a compressed configuration of 800 routes; `config_text_compressed` of the test kit
/// holds the size of a route.
const CONFIG: ByteCount = ByteCount::new(24 * 800);
/// When all nodes know each other.
const SETTLED: u64 = 5_000;

fn fleet(seed: u64) -> SimulatedFleet {
    let shape = FleetShape { link: Some(LINK), config: CONFIG, ..FleetShape::new(NODES, 4) };
    SimulatedFleet::start_shaped(shape, seed)
}

/// Returns the nodes in the order of their ids, by which they take over work.
fn by_id() -> Vec<usize> {
    let mut nodes: Vec<usize> = (0..usize::from(NODES)).collect();
    nodes.sort_by_key(|node| format!("n{}", node + 1));
    nodes
}

/// Returns a share of the nodes, the leader among them.
fn with_leader(share: f64, rng: &mut SmallRng) -> BTreeSet<usize> {
    let nodes = by_id();
    let count = (f64::from(NODES) * share) as usize;
    let others = nodes[1..].iter().copied().choose_multiple(rng, count - 1);
    others.into_iter().chain([nodes[0]]).collect()
}

/// Runs `fleet` until some seconds after the changes, put into the store at `changes`. Returns the
/// times at which nodes that are not in `excused` have an older version than they must have, with
/// the node and its version.
fn late_times(
    fleet: &mut SimulatedFleet,
    changes: &[u64],
    excused: &BTreeSet<usize>,
) -> Vec<(Instant, usize, u64)> {
    for (version, change) in (2..).zip(changes) {
        fleet.put_config_at(at(*change), version);
    }
    let end = changes.iter().max().copied().unwrap_or_default() + 4_000;
    let mut late = Vec::new();
    fleet.run(at(end), |now, versions| {
        let is_due = |change: &&u64| at(**change) + APPLY_LIMIT <= now;
        let due = 1 + changes.iter().filter(is_due).count() as u64;
        let old = versions.iter().enumerate().filter(|(_, version)| **version < due);
        let old = old.filter(|(node, _)| now >= at(SETTLED) && !excused.contains(node));
        late.extend(old.map(|(node, version)| (now, node, *version)));
    });
    late
}

/// Plays changes while the store gives no answer to a share of the nodes.
fn check_changes(share: f64, refuses: bool, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = rng.random_range(SETTLED..SETTLED + 16_000);
    let mut fleet = fleet(seed);
    fleet.store.silent_nodes = with_leader(share, &mut rng);
    fleet.store.refuses = refuses;
    fleet.store.silences = vec![at(start)..at(start + 5_000)];
    let first = start + rng.random_range(0..2_500);
    let changes = [first, first + rng.random_range(300..1_500)];
    let silent = fleet.store.silent_nodes.clone();
    let late = late_times(&mut fleet, &changes, &silent);
    assert!(
        late.is_empty(),
        "seed {seed}, silent from {start}, changes {changes:?}: {} times, first {:?}",
        late.len(),
        late[0]
    );
}

/// Guards against changes that nobody hears of for seconds because the store is silent to most nodes,
/// among them all that watch it, and that spread slowly from the first node that has them.
#[test]
fn config_change_silent_to_most() {
    for seed in seeds(10) {
        check_changes(0.9, false, seed);
        check_changes(0.6, false, seed);
    }
}

/// The same with a share of nodes that leaves some of the watchers their path to the store.
#[test]
fn config_change_silent_to_some() {
    for seed in seeds(10) {
        check_changes(0.35, false, seed);
    }
}

/// Guards against changes that nobody hears of for seconds because the store refuses the requests of
/// most nodes and leaves their watches without an answer.
#[test]
fn config_change_refused_to_most() {
    for seed in seeds(10) {
        check_changes(0.9, true, seed);
        check_changes(0.35, true, seed);
    }
}

/// Guards against changes that nobody hears of because the leader of the watchers stands still, and
/// the store is silent to the other watchers.
#[test]
fn config_change_leader_frozen() {
    for seed in seeds(10) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(SETTLED..SETTLED + 16_000);
        let mut fleet = fleet(seed);
        let nodes = by_id();
        let time = at(start)..at(start + 5_000);
        fleet.freeze(nodes[0], time.clone());
        // The nodes that watch are the first ones of each data centre.
        fleet.store.silent_nodes = nodes[..20].iter().copied().collect();
        fleet.store.silences = vec![time];
        let change = start + rng.random_range(0..2_500);
        let excused = fleet.store.silent_nodes.clone();
        let late = late_times(&mut fleet, &[change], &excused);
        assert!(late.is_empty(), "seed {seed}, from {start}, change {change}: {:?}", late[0]);
    }
}

/// Guards against a store that gets a request of every node whenever it is silent to some of them.
#[test]
fn calls_silent_to_some() {
    // A node that does not watch sends nothing but renewals, which are cheap.
    const MAX_READS: u64 = 60;
    for share in [0.35, 0.9] {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut fleet = fleet(1);
        fleet.store.silent_nodes = with_leader(share, &mut rng);
        fleet.store.silences = vec![at(10_000)..at(15_000)];
        let reads = |fleet: &SimulatedFleet| fleet.store.calls["watch"] + fleet.store.calls["list"];
        fleet.run(at(10_000), |_, _| {});
        let before = reads(&fleet);
        fleet.run(at(15_000), |_, _| {});
        let reads = reads(&fleet) - before;
        assert!(reads <= MAX_READS, "{reads} watches and listings in 5 s, silent to {share}");
    }
}

/// Guards against nodes that go on with what they knew before they stood still, the leader of the
/// watchers among them, and against others that wait for these.
#[test]
fn config_change_some_frozen() {
    for seed in seeds(10) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(SETTLED..SETTLED + 10_000);
        let end = start + rng.random_range(500..8_000);
        let mut fleet = fleet(seed);
        let frozen = with_leader(0.1, &mut rng);
        for node in &frozen {
            fleet.freeze(*node, at(start)..at(end));
        }
        let changes = [rng.random_range(start..end), end + rng.random_range(0..1_000)];
        let late = late_times(&mut fleet, &changes, &frozen);
        assert!(late.is_empty(), "seed {seed}, frozen from {start} to {end}: {:?}", late[0]);
        let versions = fleet.versions();
        let is_old = |node: &&usize| versions[**node] < 3;
        let old: Vec<&usize> = frozen.iter().filter(is_old).collect();
        assert!(old.is_empty(), "seed {seed}: {old:?} don't follow after {end}");
    }
}
