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
const NODES: u8 = 8;

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
