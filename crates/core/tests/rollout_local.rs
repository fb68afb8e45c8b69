//! Tests of the rule by which a node stops a version whose calls it sees fail.

mod rollout_common;

use almondsail_core::rollout::{LOCAL_FALSE_ALARM_RATE, LocalStopRule};
use rand::Rng;
use rollout_common::{after, rng, route};

/// Returns the number of calls to the new version until the rule stops it, or `None`.
/// `failure_rates` has the rates of the old and the new version.
fn calls_until_stop(seed: u64, calls: u64, share: f64, failure_rates: (f64, f64)) -> Option<u64> {
    let mut rng = rng(seed);
    let mut rule = LocalStopRule::new(30, 20);
    let mut new_calls = 0;
    for call in 0..calls {
        let is_new = rng.random_bool(share);
        let has_failed = rng.random_bool(if is_new { failure_rates.1 } else { failure_rates.0 });
        new_calls += u64::from(is_new);
        if rule.record(after(call * 20), &route(0), is_new, has_failed, 1) {
            return Some(new_calls);
        }
    }
    None
}

/// Guards against many calls that a node sends to a version which fails all of them.
#[test]
fn record_all_fail() {
    for seed in 0..20 {
        let new_calls = calls_until_stop(seed, 20_000, 0.01, (0.001, 1.0));
        assert!(new_calls.is_some_and(|calls| calls <= 12), "seed {seed}: {new_calls:?}");
    }
}

/// Guards against a stop of the new version when both versions fail equally often.
#[test]
fn record_both_fail() {
    const RUNS: u64 = 1_000;
    let stops = (0..RUNS).filter(|seed| calls_until_stop(*seed, 2_000, 0.1, (0.5, 0.5)).is_some());
    let allowed = (RUNS as f64 * LOCAL_FALSE_ALARM_RATE) as usize;
    let stops = stops.count();
    assert!(stops <= allowed, "{stops} stops in {RUNS} runs, {allowed} allowed");
}

/// Guards against a stop without calls of the old version to compare with.
#[test]
fn record_without_old_calls() {
    assert_eq!(calls_until_stop(1, 1_000, 1.0, (0.0, 1.0)), None);
}

/// Guards against wrong failure rates when the calls of a second are counted in groups by
/// version and outcome.
#[test]
fn record_calls_grouped_by_outcome() {
    let stops_within_a_minute = |new_failures: usize| {
        let mut rule = LocalStopRule::new(30, 20);
        (0..60).any(|second| {
            let groups = [(false, true, 5), (false, false, 45)];
            let groups = groups
                .into_iter()
                .chain([(true, false, 50 - new_failures), (true, true, new_failures)]);
            groups.into_iter().any(|(is_new, has_failed, calls)| {
                let now = after(second * 1_000);
                rule.record(now, &route(0), is_new, has_failed, calls as u32)
            })
        })
    };
    assert!(stops_within_a_minute(25));
    assert!(!stops_within_a_minute(5));
}
