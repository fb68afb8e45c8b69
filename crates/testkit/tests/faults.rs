//! Tests which calls the fault rules affect, without processes.

use std::time::Duration;

use almondsail_testkit::backend::{Fault, FaultRule, Faults, Plan, ServiceTime};
use eyre::Result;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const FAULT_FREE: Plan = Plan {
    runs: 1,
    duration: Some(Duration::from_millis(5)),
    fails: false,
    is_truncated: false,
    ignores_deadline: false,
};

fn plan(rule: FaultRule, path: &str, age: Duration, load: usize) -> Plan {
    let mut rng = SmallRng::seed_from_u64(1);
    Faults::of_calls([rule]).apply(FAULT_FREE, path, (age, load), Duration::from_secs(1), &mut rng)
}

// Guards against a fault that takes effect before its delay has passed.
#[test]
fn apply_after_delay() {
    let rule = FaultRule { after_ms: 100, ..FaultRule::new("/bays", Fault::RunTwice) };
    assert_eq!(plan(rule.clone(), "/bays", Duration::from_millis(99), 0), FAULT_FREE);
    assert_eq!(plan(rule, "/bays", Duration::from_millis(100), 0).runs, 2);
}

// Guards against a fault with a minimum load that affects a process below that load.
#[test]
fn apply_from_load() {
    let rule = FaultRule { from_load: 3, ..FaultRule::new("/bays", Fault::Slow { ms: 10 }) };
    assert_eq!(plan(rule.clone(), "/bays", Duration::ZERO, 2), FAULT_FREE);
    let slow = plan(rule, "/bays", Duration::ZERO, 3);
    assert_eq!(slow.duration, Some(Duration::from_millis(15)));
}

// Guards against a fault for one path prefix that affects other paths.
#[test]
fn apply_other_route() {
    let rule = FaultRule::new("/bays/book", Fault::Hang);
    assert_eq!(plan(rule.clone(), "/bays/item", Duration::ZERO, 9), FAULT_FREE);
    assert_eq!(plan(rule, "/bays/book/1", Duration::ZERO, 9).duration, None);
}

// Guards against a share of failing calls that deviates from the configured one.
#[test]
fn apply_fail_share() {
    let faults = Faults::of_calls([FaultRule::new("/", Fault::Fail { per_mille: 250 })]);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut fails = || {
        let now = (Duration::ZERO, 0);
        faults.apply(FAULT_FREE, "/bays", now, Duration::from_secs(1), &mut rng).fails
    };
    let failed = (0..10_000).filter(|_| fails()).count();
    assert!((2_300..2_700).contains(&failed), "{failed} of 10000");
}

// Guards against a shorter path prefix that takes precedence over a longer one.
#[test]
fn service_time_longest_prefix() -> Result<()> {
    let times: Vec<ServiceTime> = vec!["/bays/book=20ms".parse()?, "/bays=5ms".parse()?];
    assert_eq!(ServiceTime::of(&times, "/bays/book/1"), Some(Duration::from_millis(20)));
    assert_eq!(ServiceTime::of(&times, "/bays/item"), Some(Duration::from_millis(5)));
    assert_eq!(ServiceTime::of(&times, "/other"), None);
    Ok(())
}
