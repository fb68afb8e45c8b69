//! Tests of the version floor of a restarted node.

use almondsail_core::ids::{ConfigVersion, NodeId};
use almondsail_core::sync::FloorGate;
use almondsail_core::units::{Instant, Millis};
use almondsail_seeded::properties;

const fn version(version: u64) -> ConfigVersion {
    ConfigVersion::new(version)
}

fn links(count: u8) -> Vec<NodeId> {
    (0..count).map(|n| format!("n{n}").parse().expect("a name")).collect()
}

/// Returns a gate that has settled with a floor of 7.
fn settled_gate() -> FloorGate {
    let (mut gate, links) = (FloorGate::default(), links(1));
    gate.answer(&links[0], version(7), true);
    gate.settle(&links, false);
    gate
}

/// Guards against a started node that publishes before its links were asked, or publishes a
/// version below the one that they report. Tests each condition separately.
#[test]
fn admits_every_case() {
    let asking = FloorGate::default();
    assert!(!asking.admits(version(9)), "not settled, above the floor");
    let mut low = FloorGate::default();
    low.raise(version(7));
    assert!(!low.admits(version(6)), "not settled, below the floor");
    let gate = settled_gate();
    assert!(!gate.admits(version(6)), "settled, below the floor");
    assert!(gate.admits(version(7)), "settled, at the floor");
    assert!(gate.admits(version(8)), "settled, above the floor");
}

/// Guards against a floor that goes down, and against a settled node that stops publishing
/// because another node holds a newer version.
#[test]
fn raise_and_answer_never_lower() {
    let mut gate = FloorGate::default();
    gate.raise(version(5));
    gate.raise(version(3));
    assert_eq!(gate.floor(), version(5));
    gate.answer(&links(1)[0], version(4), true);
    assert_eq!(gate.floor(), version(5));
    let mut gate = settled_gate();
    gate.raise(version(9));
    assert_eq!(gate.floor(), version(7));
    assert!(gate.admits(version(7)));
}

/// Guards against a node that settles before every link has answered, or without the answer of
/// a settled node before it has waited. Enumerates all cases.
#[test]
fn settle_every_case() {
    for answers in 0..=2 {
        for by_settled in [false, true] {
            for waited in [false, true] {
                let (mut gate, links) = (FloorGate::default(), links(2));
                for link in &links[..answers] {
                    gate.answer(link, version(1), by_settled);
                }
                gate.settle(&links, waited);
                let has_source = waited || (by_settled && answers > 0);
                let expected = answers == 2 && has_source;
                assert_eq!(gate.is_settled(), expected, "{answers} {by_settled} {waited}");
            }
        }
    }
}

/// Guards against a link that is asked too often or is never given up.
#[test]
fn due_until_given_up() {
    let (mut gate, links) = (FloorGate::default(), links(1));
    let mut asked = Vec::new();
    for ms in (0..3_000).step_by(10) {
        let now = Instant::new(0) + Millis::new(ms);
        if !gate.due(&links, 3, now).is_empty() {
            asked.push(ms);
        }
        gate.settle(&links, true);
        assert_eq!(gate.is_settled(), ms >= 750, "{ms} ms, given up after the third period");
    }
    assert_eq!(asked, [0, 250, 500]);
    assert!(
        settled_gate().due(&links, 3, Instant::new(0)).is_empty(),
        "a settled node asks nobody"
    );
}

properties! {
    /// Guards against a sequence of reports and answers after which a version is admitted that
    /// is below one reported before the gate settled.
    fn admits_any_sequence(steps: Vec<(u8, u8)>) -> bool {
        let links = links(3);
        let (mut gate, mut highest) = (FloorGate::default(), version(0));
        for (kind, number) in steps {
            let reported = version(u64::from(number));
            let was_settled = gate.is_settled();
            match kind % 4 {
                0 => {
                    gate.raise(reported);
                    if !was_settled {
                        highest = highest.max(reported);
                    }
                }
                1 | 2 => {
                    gate.answer(&links[usize::from(number % 3)], reported, kind % 4 == 2);
                    highest = highest.max(reported);
                }
                _ => gate.settle(&links, number % 2 == 0),
            }
            let below = highest.get().checked_sub(1).map(version);
            if was_settled && !gate.is_settled() || below.is_some_and(|below| gate.admits(below)) {
                return false;
            }
            if gate.admits(highest) != gate.is_settled() {
                return false;
            }
        }
        true
    }
}
