//! Compares the rollout driver with two simpler policies on generated evidence.
//!
//! `cargo bench -p almondsail-core --bench rollout_policies` prints the table of
//! `docs/rollouts.md`. `ALMONDSAIL_CASES` sets the number of runs of each kind,
//! and `ALMONDSAIL_SEED` the first seed.

mod policy;
mod run;
mod scenario;
mod summary;

use std::env;
use std::thread;
use std::time::Instant;

use policy::Policy;
use run::{Outcome, Run};
use scenario::Scenario;
use summary::Summary;

const DEFAULT_RUNS: u64 = 1_000;
const DEFAULT_SEED: u64 = 20_261_204;
const THREADS: u64 = 4;

fn main() {
    // `cargo test --all-targets` runs benchmarks without this argument.
    if !env::args().any(|arg| arg == "--bench") {
        return;
    }
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let runs = number("ALMONDSAIL_CASES").unwrap_or(DEFAULT_RUNS);
    let seed = number("ALMONDSAIL_SEED").unwrap_or(DEFAULT_SEED);
    let start = Instant::now();
    println!("{runs} runs of each kind, seeds {seed} to {}\n", seed + runs - 1);
    println!("{}", Summary::HEADER);
    for scenario in Scenario::ALL {
        for policy in Policy::ALL {
            let outcomes = outcomes(scenario, policy, seed, runs);
            println!("{}", Summary::of(&outcomes).row(scenario, policy));
        }
    }
    println!("\n{} s on {THREADS} threads", start.elapsed().as_secs());
}

fn outcomes(scenario: Scenario, policy: Policy, seed: u64, runs: u64) -> Vec<Outcome> {
    let part = move |thread| {
        let seeds = (0..runs).filter(move |run| run % THREADS == thread);
        seeds.map(|run| Run::new(scenario, policy, seed + run).finish()).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|n| scope.spawn(move || part(n))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a run does not panic")).collect()
    })
}
