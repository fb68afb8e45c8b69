//! Spreading a configuration from node to node over slow links.

use almondsail_core::fleet::TransferLimiter;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// The number of nodes of a data centre, of which one has the configuration at first.
const NODES: usize = 16;
/// The size of a configuration of 800 routes, in bytes.
const CONFIG_BYTES: f64 = 160_000.0;
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

/// Returns the milliseconds until all nodes have the configuration, at most 5,000.
fn time_to_spread(seed: u64, may_begin: impl Fn(&mut TransferLimiter) -> bool) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut states = [State::Asking(0); NODES];
    let mut limiters = [TransferLimiter::default(); NODES];
    states[0] = State::Complete;
    for now in 0..5_000 {
        let holders: Vec<usize> =
            (0..NODES).filter(|n| matches!(states[*n], State::Complete)).collect();
        if holders.len() == NODES {
            return now;
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
                    match may_begin(&mut limiters[from]) {
                        true => State::Receiving(from, now, 0.0),
                        false => State::Asking(now + rng.random_range(40..=120)),
                    }
                }
                State::Receiving(from, since, bytes) => {
                    let bytes = bytes + LINK_BYTES_PER_MS / f64::from(receivers[from].max(1));
                    if bytes >= CONFIG_BYTES {
                        limiters[from].end();
                        State::Complete
                    } else if now - since >= FETCH_TIMEOUT_MS {
                        limiters[from].end();
                        State::Asking(now + rng.random_range(40..=120))
                    } else {
                        State::Receiving(from, since, bytes)
                    }
                }
                other => other,
            };
        }
    }
    5_000
}

/// Guards against nodes that all fetch a configuration from the first one that has it, so that none
/// receives it completely in time: in the scenario cala-mesh-grown scale-2, it was in force only
/// 3.5 s after it was accepted. The limit is 2.5 s, of which the store and the first node take
/// 0.6 s.
#[test]
fn spread_over_slow_links() {
    for seed in 0..20 {
        let limited = time_to_spread(seed, TransferLimiter::begin);
        assert!(limited <= 1_900, "seed {seed}: {limited} ms");
        let unlimited = time_to_spread(seed, |_| true);
        assert!(unlimited > 1_900, "seed {seed}: {unlimited} ms without a bound");
    }
}
