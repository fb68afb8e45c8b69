//! Spreading a configuration from node to node over slow links.

mod fleet_common;

use almondsail_core::fleet::{FleetAction, FleetEvent, Heartbeat, TransferLimiter};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::units::{ByteCount, Instant};
use fleet_common::node::{Node, config_item};
use fleet_common::{entry, heartbeat};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// The number of nodes of a data centre, of which one has the configuration at first.
const NODES: usize = 16;
/// The size of a configuration of 800 routes.
const LARGE: ByteCount = ByteCount::new(160_000);
/// The size of a configuration of 20 routes.
const SMALL: ByteCount = ByteCount::new(4_000);
/// The free half of a link of 10 Mbit/s, in bytes per millisecond.
const LINK_BYTES_PER_MS: f64 = 625.0;
/// The time that a node waits for an answer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_800;

#[derive(Debug, Clone, Copy)]
enum State {
    /// The node asks another one at this millisecond.
    Asking(u64),
    /// The node has received this number of bytes from that node since a millisecond.
    Receiving(usize, u64, f64),
    Complete,
}

/// Returns the milliseconds until all nodes have the configuration of `size`, at most 5,000, and
/// how many requests were refused.
fn spread(
    seed: u64,
    size: ByteCount,
    may_begin: impl Fn(&mut TransferLimiter, Instant) -> bool,
) -> (u64, usize) {
    let mut refused = 0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut states = [State::Asking(0); NODES];
    let mut limiters = [TransferLimiter::default(); NODES];
    states[0] = State::Complete;
    for now in 0..5_000 {
        let holders: Vec<usize> =
            (0..NODES).filter(|n| matches!(states[*n], State::Complete)).collect();
        if holders.len() == NODES {
            return (now, refused);
        }
        let mut receivers = [0_u32; NODES];
        for state in states {
            if let State::Receiving(from, ..) = state {
                receivers[from] += 1;
            }
        }
        for state in &mut states {
            *state = match *state {
                State::Asking(at) if at <= now => {
                    let from = holders[rng.random_range(0..holders.len())];
                    match may_begin(&mut limiters[from], Instant::new(now * 1_000)) {
                        true => State::Receiving(from, now, 0.0),
                        false => {
                            refused += 1;
                            State::Asking(now + rng.random_range(40..=120))
                        }
                    }
                }
                State::Receiving(from, since, bytes) => {
                    let bytes = bytes + LINK_BYTES_PER_MS / f64::from(receivers[from].max(1));
                    if bytes >= size.get() as f64 {
                        State::Complete
                    } else if now - since >= FETCH_TIMEOUT_MS {
                        State::Asking(now + rng.random_range(40..=120))
                    } else {
                        State::Receiving(from, since, bytes)
                    }
                }
                other => other,
            };
        }
    }
    (5_000, refused)
}

/// Guards against nodes that all fetch a configuration from the first one that has it, so that none
/// receives it completely in time: in the scenario cala-mesh-grown scale-2, it was in force only
/// 3.5 s after it was accepted. The limit is 2.5 s, of which the store and the first node take
/// 0.6 s.
#[test]
fn spread_over_slow_links() {
    for seed in 0..20 {
        let (limited, _) = spread(seed, LARGE, |limiter, now| limiter.begin(now, LARGE));
        assert!(limited <= 1_900, "seed {seed}: {limited} ms");
        let (unlimited, _) = spread(seed, LARGE, |_, _| true);
        assert!(unlimited > 1_900, "seed {seed}: {unlimited} ms without a bound");
    }
}

/// Guards against nodes that are refused a small configuration and ask again and again.
#[test]
fn spread_small_configuration() {
    for seed in 0..20 {
        let (took, refused) = spread(seed, SMALL, |limiter, now| limiter.begin(now, SMALL));
        assert_eq!(refused, 0, "seed {seed}");
        assert!(took <= 250, "seed {seed}: {took} ms");
    }
}

/// Returns whether a node asks one of another data centre within `ms`, with `others` further nodes
/// in its own that take over work before it.
fn asks_within(ms: u64, others: u16) -> bool {
    let mut node = Node::started(vec![config_item(5, 50)]);
    for n in 0..others {
        let mut first = heartbeat(n + 2, 1);
        first.entry.node = format!("m{n}").parse().unwrap();
        first.config_version = ConfigVersion::new(5);
        node.event(FleetEvent::Heartbeat(first));
    }
    let remote = entry(20, "dc-b");
    let version = ConfigVersion::new(6);
    let newer = Heartbeat { entry: remote.clone(), config_version: version, ..heartbeat(20, 1) };
    node.event(FleetEvent::Heartbeat(newer));
    node.advance(ms);
    node.actions.contains(&FleetAction::FetchConfig(remote.inbound))
}

/// Guards against data centres that have a change late because none of their nodes asks another data
/// centre soon, and against all nodes of a data centre that ask another one.
#[test]
fn fetch_from_other_data_centre() {
    for others in [0, 1] {
        assert!(!asks_within(100, others), "the store may answer first");
        assert!(asks_within(300, others));
    }
    assert!(!asks_within(500, 2));
    assert!(asks_within(700, 2));
}
