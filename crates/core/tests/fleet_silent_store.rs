//! A store that gives no response for some time, and changes of the configuration after it.

mod fleet_common;

use std::ops::Range;

use almondsail_core::units::{Instant, Millis};
use almondsail_seeded::seeds;
use fleet_common::at;
use fleet_common::simulated_fleet::SimulatedFleet;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Time limit for a change to be in force at every node.
const APPLY_LIMIT: Millis = Millis::new(2_000);
/// How long after a silence of the store changes may be late.
const RECOVERY_LIMIT: Millis = Millis::new(3_000);
/// The number of nodes, by turns in two data centres.
const NODES: u16 = 8;

/// Returns the times at which a node has an older version than it must have.
fn late_times(
    silences: &[Range<u64>],
    changes: &[u64],
    losses: Option<(Range<u64>, f64)>,
    seed: u64,
) -> Vec<(Instant, Vec<u64>)> {
    let mut fleet = SimulatedFleet::start(NODES, seed);
    let to_instants = |time: &Range<u64>| at(time.start)..at(time.end);
    fleet.store.silences = silences.iter().map(to_instants).collect();
    fleet.store.losses = losses.as_ref().map(|(time, share)| (to_instants(time), *share));
    for (n, change) in changes.iter().enumerate() {
        fleet.put_config_at(at(*change), 2 + n as u64);
    }
    let troubles: Vec<Range<u64>> =
        silences.iter().cloned().chain(losses.map(|(time, _)| time)).collect();
    let end = changes.iter().max().copied().unwrap_or_default() + 8_000;
    let mut late = Vec::new();
    fleet.run(at(end), |now, versions| {
        let is_recovering = |trouble: &Range<u64>| {
            now >= at(trouble.start) && now < at(trouble.end) + RECOVERY_LIMIT
        };
        let is_due = |change: &&u64| at(**change) + APPLY_LIMIT <= now;
        let due = 1 + changes.iter().filter(is_due).count() as u64;
        let is_started = now >= at(3_000);
        if is_started
            && !troubles.iter().any(is_recovering)
            && versions.iter().any(|version| *version < due)
        {
            late.push((now, versions.to_vec()));
        }
    });
    late
}

/// Guards against changes that no node takes because each watch was sent while the store was silent,
/// at any moment of the silence between two ends of the watches.
#[test]
fn config_change_after_silence() {
    for seed in seeds(40) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(4_000..34_000);
        let silence = start..start + rng.random_range(200..9_000);
        let change = silence.end + rng.random_range(0..6_000);
        let late = late_times(std::slice::from_ref(&silence), &[change], None, seed);
        assert!(late.is_empty(), "seed {seed}, {silence:?}, change {change}: {:?}", late[0]);
    }
}
/// Guards against a lost watch that nothing shows: the silence is too short for a renewal of the lease
/// to fall into it, and the change that the watches would have told of is made in it.
#[test]
fn config_change_in_short_silence() {
    for seed in seeds(40) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(4_000..20_000);
        let silence = start..start + rng.random_range(100..2_500);
        let changes = [start + rng.random_range(0..200), silence.end + rng.random_range(0..4_000)];
        let late = late_times(std::slice::from_ref(&silence), &changes, None, seed);
        assert!(late.is_empty(), "seed {seed}, {silence:?}, changes {changes:?}: {:?}", late[0]);
    }
}

/// Guards against a watch that is repeated into a second silence, and watches that are lost in a
/// storm of changes.
#[test]
fn config_change_storm_and_two_silences() {
    for seed in seeds(40) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(4_000..20_000);
        let first = start..start + rng.random_range(100..6_500);
        let start = first.end + rng.random_range(50..4_000);
        let second = start..start + rng.random_range(100..6_500);
        let storm = (0..20).map(|n| first.start - 1_000 + n * 300);
        let last = second.end + rng.random_range(0..4_000);
        let changes: Vec<u64> = storm.chain([last]).collect();
        let late = late_times(&[first.clone(), second.clone()], &changes, None, seed);
        assert!(late.is_empty(), "seed {seed}, {first:?}, {second:?}, last {last}: {:?}", late[0]);
    }
}

/// Guards against a change whose news is lost at all nodes that watch, one by one.
#[test]
fn config_change_while_answers_are_lost() {
    const LOST_SHARE: f64 = 0.35;
    for seed in seeds(40) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(4_000..20_000);
        let time = start..start + rng.random_range(2_000..6_500);
        let mut changes: Vec<u64> = (0..4).map(|_| start + rng.random_range(0..5_500)).collect();
        changes.sort_unstable();
        let late = late_times(&[], &changes, Some((time.clone(), LOST_SHARE)), seed);
        assert!(late.is_empty(), "seed {seed}, {time:?}, changes {changes:?}: {:?}", late[0]);
    }
}

/// Guards against nodes that don't hear of changes because the store is silent for all nodes that
/// watch, and for no other.
#[test]
fn config_change_watchers_alone_in_silence() {
    for seed in seeds(40) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = rng.random_range(4_000..20_000);
        let mut fleet = SimulatedFleet::start(NODES, seed);
        fleet.store.silences = vec![at(start)..at(start + 20_000)];
        fleet.store.silent_nodes = (0..4).collect();
        // Longer than a renewal interval and the timeout of a renewal: others have taken over.
        let change = start + rng.random_range(4_000..15_000);
        fleet.put_config_at(at(change), 2);
        let due = at(change) + APPLY_LIMIT;
        fleet.run(at(change + 6_000), |now, versions| {
            let is_late = now >= due && versions.contains(&1);
            assert!(!is_late, "seed {seed}, silence from {start}, change {change}: {versions:?}");
        });
    }
}

/// Guards against a calm store that is asked more often the more nodes there are.
#[test]
fn calls_on_calm_day_any_fleet() {
    let watches = |nodes| {
        let mut fleet = SimulatedFleet::start(nodes, 1);
        fleet.run(at(10_000), |_, _| {});
        let before = fleet.store.calls["watch"];
        fleet.run(at(70_000), |_, _| {});
        fleet.store.calls["watch"] - before
    };
    let (few, many) = (watches(8), watches(24));
    assert!(many <= few + 4, "{few} watches a minute of 8 nodes, {many} of 24");
}

/// Guards against a store that gets watches and listings of every node when it responds again.
#[test]
fn calls_after_silence_any_fleet() {
    let calls = |nodes| {
        let mut fleet = SimulatedFleet::start(nodes, 1);
        fleet.store.silences = vec![at(10_000)..at(18_000)];
        let reads = |fleet: &SimulatedFleet| fleet.store.calls["watch"] + fleet.store.calls["list"];
        fleet.run(at(10_000), |_, _| {});
        let before = reads(&fleet);
        fleet.run(at(24_000), |_, _| {});
        reads(&fleet) - before
    };
    let (few, many) = (calls(8), calls(24));
    assert!(many <= few + few / 2, "{few} watches and listings of 8 nodes, {many} of 24");
}
