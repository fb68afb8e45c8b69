//! Fleets of up to some thousand nodes, on hosts with a small share of a core.

mod fleet_common;

use almondsail_core::fleet::FleetEvent;
use almondsail_core::units::{ByteCount, Instant, Micros, Millis, PerMille, UnixMillis};
use almondsail_seeded::seeds;
use fleet_common::simulated_fleet::{EventCost, FleetShape, SimulatedFleet};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Time limit for a change to be in force at every node.
const APPLY_LIMIT: Millis = Millis::new(3_000);
/// When all nodes of a fleet know each other.
const SETTLED: Instant = Instant::new(5_000_000);
/// The largest number of datagrams that a node sends for one change.
const MAX_DATAGRAMS_PER_CHANGE: u64 = 50;
/// The largest number of datagrams that a node sends in a second, also in a storm of changes.
const MAX_DATAGRAMS_PER_SECOND: u64 = 500;
/// The largest number of bytes of heartbeats that a node sends in a second: a tenth of a link of
/// 20 Mbit/s.
const MAX_HEARTBEAT_BYTES: ByteCount = ByteCount::new(250_000);
/// The bytes a second on a link of 20 Mbit/s, less what calls need.
const SLOW_LINK: ByteCount = ByteCount::new(1_500_000);
/// The nodes that restart in turn, and the first one after them.
const FIRST_RESTARTED: usize = 200;
const FIRST_NOT_RESTARTED: usize = 220;
/// Hosts with a tenth of a core. The cost is that of a datagram with its system call, decoding and
/// merging.
const SMALL_HOST: EventCost =
    EventCost { datagram: Micros::new(40), share: PerMille::new(100).unwrap() };

/// Returns the number of nodes of the largest fleet, for longer runs than those of CI.
fn fleet_nodes() -> u16 {
    std::env::var("ALMONDSAIL_NODES").ok().and_then(|text| text.parse().ok()).unwrap_or(295)
}

/// Returns a fleet of `nodes` in six data centres on small hosts.
fn small_hosts(nodes: u16) -> FleetShape {
    FleetShape { cost: Some(SMALL_HOST), ..FleetShape::new(nodes, 6) }
}

/// Puts 31 versions into the store, 160 ms apart. Returns the first time at which a node has an older
/// version than it must have, with the version that is due and the oldest one.
fn storm(fleet: &mut SimulatedFleet) -> Option<(Instant, u64, u64)> {
    const GAP: Millis = Millis::new(160);
    let puts: Vec<Instant> =
        (0..31).scan(SETTLED, |time, _| Some(std::mem::replace(time, *time + GAP))).collect();
    for (version, put) in (2..).zip(&puts) {
        fleet.put_config_at(*put, version);
    }
    let mut first_late = None;
    fleet.run(SETTLED + Millis::new(12_000), |now, versions| {
        let due = 1 + puts.iter().filter(|put| **put + APPLY_LIMIT <= now).count() as u64;
        let oldest = versions.iter().min().copied().unwrap_or_default();
        if now >= SETTLED && oldest < due {
            first_late.get_or_insert((now, due, oldest));
        }
    });
    first_late
}

/// Guards against nodes that fall behind in a storm of changes because each change makes every node
/// send to all others.
#[test]
fn config_storm_small_hosts() {
    for nodes in [16, 91, 295] {
        let mut fleet = SimulatedFleet::start_shaped(small_hosts(nodes), 1);
        let late = storm(&mut fleet);
        let waited = fleet.longest_wait();
        assert_eq!(late, None, "{nodes} nodes, an event waited {waited}");
        assert!(waited < Micros::from(APPLY_LIMIT), "{nodes} nodes, an event waited {waited}");
    }
}

/// Guards against nodes that fall behind in a storm of changes while nodes are restarted in turn.
#[test]
fn config_storm_rolling_restart() {
    const RESTARTS: u64 = 100;
    let mut fleet = SimulatedFleet::start_shaped(small_hosts(295), 1);
    for n in 0..RESTARTS {
        fleet.restart_at(SETTLED + Millis::new(n * 50), usize::try_from(n * 2).unwrap());
    }
    // A node that was just started has the configuration of the store within a second.
    let mut versions = Vec::new();
    let late = storm(&mut fleet);
    fleet.run(SETTLED + Millis::new(12_100), |_, seen| versions = seen.to_vec());
    assert!(versions.iter().all(|version| *version == 32), "{versions:?}");
    let is_restarted = |oldest: u64| oldest == 0;
    assert!(late.is_none_or(|(_, _, oldest)| is_restarted(oldest)), "{late:?}");
}

/// Guards against datagrams for a change that grow with the number of nodes.
#[test]
fn datagrams_for_change() {
    const CHANGES: u64 = 5;
    for nodes in [16, 91, 295] {
        let mut fleet = SimulatedFleet::start_shaped(FleetShape::new(nodes, 6), 1);
        fleet.run(SETTLED, |_, _| {});
        let before = fleet.sent_datagrams();
        fleet.run(SETTLED + Millis::new(1_000 * CHANGES), |_, _| {});
        let calm = fleet.sent_datagrams();
        for n in 0..CHANGES {
            fleet.put_config_at(SETTLED + Millis::new(1_000 * (CHANGES + n)), 2 + n);
        }
        fleet.run(SETTLED + Millis::new(2_000 * CHANGES), |_, _| {});
        let after = fleet.sent_datagrams();
        for (node, ((before, calm), after)) in before.iter().zip(&calm).zip(&after).enumerate() {
            let (calm_sent, sent) = (calm - before, after - calm);
            assert!(
                sent <= calm_sent + CHANGES * MAX_DATAGRAMS_PER_CHANGE,
                "{nodes} nodes: node {node} sent {sent} with changes and {calm_sent} without"
            );
        }
    }
}

/// Guards against datagrams in a storm of changes that grow with the number of nodes or of changes.
#[test]
fn datagrams_in_storm() {
    let mut fleet = SimulatedFleet::start_shaped(FleetShape::new(295, 6), 1);
    fleet.run(SETTLED, |_, _| {});
    let before = fleet.sent_datagrams();
    assert_eq!(storm(&mut fleet), None);
    let after = fleet.sent_datagrams();
    let seconds = 12;
    let most = before.iter().zip(&after).map(|(before, after)| after - before).max().unwrap();
    assert!(most <= seconds * MAX_DATAGRAMS_PER_SECOND, "a node sent {most} in {seconds} s");
}

/// Returns a fleet in which 120 servers have left and nodes restart in turn for the next five
/// seconds.
fn rolling_restart(shape: FleetShape) -> SimulatedFleet {
    const DEPARTURES: usize = 120;
    let mut fleet = SimulatedFleet::start_shaped(shape, 1);
    fleet.run(SETTLED, |_, _| {});
    for node in 0..DEPARTURES {
        let id = format!("i-{node}").parse().unwrap();
        fleet.deliver(node, FleetEvent::Left(id, Some(UnixMillis::new(5))));
    }
    for n in 0..FIRST_NOT_RESTARTED - FIRST_RESTARTED {
        let time = SETTLED + Millis::new(1_000 + 200 * n as u64);
        fleet.restart_at(time, FIRST_RESTARTED + n);
    }
    fleet
}

/// Guards against heartbeats that fill the links of hosts while servers leave and nodes restart in
/// turn, because each heartbeat then carries all departures.
#[test]
fn heartbeat_bytes_rolling_restart() {
    let mut fleet = rolling_restart(FleetShape::new(295, 6));
    fleet.run(SETTLED + Millis::new(2_000), |_, _| {});
    let before = fleet.sent_bytes();
    fleet.run(SETTLED + Millis::new(5_000), |_, _| {});
    let after = fleet.sent_bytes();
    let most = before.iter().zip(&after).map(|(before, after)| after - before).max().unwrap();
    let a_second = most / 3;
    assert!(a_second <= MAX_HEARTBEAT_BYTES.get(), "a node sent {a_second} bytes a second");
}

/// Guards against changes of the configuration that nodes don't hear of in time, and live nodes that
/// take each other for dead, because heartbeats fill the links of hosts while nodes restart in turn.
#[test]
fn config_rolling_restart_slow_links() {
    let mut fleet =
        rolling_restart(FleetShape { link: Some(SLOW_LINK), ..FleetShape::new(295, 6) });
    let puts: Vec<Instant> = (0..6).map(|n| SETTLED + Millis::new(1_500 + 500 * n)).collect();
    for (version, put) in (2..).zip(&puts) {
        fleet.put_config_at(*put, version);
    }
    let is_restarted = |node: &usize| (FIRST_RESTARTED..FIRST_NOT_RESTARTED).contains(node);
    let mut late = Vec::new();
    for step in 0..60 {
        fleet.run(SETTLED + Millis::new(1_000 + step * 100), |now, versions| {
            let due = 1 + puts.iter().filter(|put| **put + APPLY_LIMIT <= now).count() as u64;
            let nodes = versions.iter().enumerate().filter(|(node, _)| !is_restarted(node));
            late.extend(nodes.filter(|(_, version)| **version < due).map(|(node, _)| (now, node)));
        });
        let live = fleet.live_peers();
        let lowest = live
            .iter()
            .enumerate()
            .filter(|(node, _)| !is_restarted(node))
            .min_by_key(|(_, peers)| **peers)
            .unwrap();
        assert!(
            *lowest.1 >= 294 - (FIRST_NOT_RESTARTED - FIRST_RESTARTED),
            "at step {step} node {} takes {} others for alive",
            lowest.0,
            lowest.1
        );
    }
    assert!(late.is_empty(), "{} times, first {:?}", late.len(), late[0]);
}

/// Guards against nodes that take live ones for dead, with lost datagrams and nodes that restart at
/// the same time, and against nodes that don't find each other.
#[test]
fn live_peers_after_restarts() {
    let nodes = fleet_nodes();
    let others = usize::from(nodes) - 1;
    for seed in seeds(2) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let shape = FleetShape { loss: PerMille::new(20).unwrap(), ..FleetShape::new(nodes, 6) };
        let mut fleet = SimulatedFleet::start_shaped(shape, seed);
        for _ in 0..140 {
            fleet.restart_at(SETTLED + Millis::new(1), rng.random_range(0..usize::from(nodes)));
        }
        fleet.run(SETTLED, |_, _| {});
        let live = fleet.live_peers();
        assert!(live.iter().all(|peers| *peers == others), "seed {seed}, at first: {live:?}");
        fleet.run(SETTLED + Millis::new(4_000), |_, _| {});
        for n in 0..20 {
            fleet.run(SETTLED + Millis::new(4_000 + n * 250), |_, _| {});
            let live = fleet.live_peers();
            assert!(live.iter().all(|peers| *peers == others), "seed {seed}, later: {live:?}");
        }
    }
}

/// Guards against watches of the nodes' entries that grow with the data centre: each node that starts
/// ends all of them.
#[test]
fn store_calls_nodes_restart() {
    const RESTARTS: u64 = 20;
    let mut fleet = SimulatedFleet::start_shaped(FleetShape::new(295, 6), 1);
    fleet.run(SETTLED, |_, _| {});
    let before = fleet.store.calls.get("watch").copied().unwrap_or_default();
    for n in 0..RESTARTS {
        fleet.restart_at(SETTLED + Millis::new(500 * n), 10 + 7 * usize::try_from(n).unwrap());
    }
    fleet.run(SETTLED + Millis::new(500 * RESTARTS), |_, _| {});
    let watches = fleet.store.calls.get("watch").copied().unwrap_or_default() - before;
    // Two watchers in each of six data centres for each restart, and two watches of the node that
    // has started. A watch of the leader ends each second, and the others within the time once.
    let bound = RESTARTS * (2 * 6 + 2) + 10 + 2 * 8 * 6;
    assert!(watches <= bound, "{watches} watches, {bound} allowed");
}

/// Guards against nodes that never hear of each other because they started at the same time, before
/// either was listed in the store.
#[test]
fn live_peers_started_together() {
    for nodes in [2, 8, 16, 30, 60, 70, 91] {
        for seed in seeds(5) {
            let mut fleet = SimulatedFleet::start_shaped(FleetShape::new(nodes, 4), seed);
            fleet.run(SETTLED, |_, _| {});
            let live = fleet.live_peers();
            let others = usize::from(nodes) - 1;
            assert!(
                live.iter().all(|peers| *peers == others),
                "{nodes} nodes, seed {seed}: {live:?}"
            );
        }
    }
}

/// Guards against a dead node that others keep alive by telling each other of it.
#[test]
fn live_peers_dead_node() {
    let mut fleet = SimulatedFleet::start_shaped(FleetShape::new(295, 6), 3);
    fleet.run(SETTLED, |_, _| {});
    fleet.kill(17);
    fleet.run(SETTLED + Millis::new(10_000), |_, _| {});
    let mut live = fleet.live_peers();
    live.remove(17);
    assert!(live.iter().all(|peers| *peers == 293), "{live:?}");
}
