//! Tests of stops submitted by operators.

mod common;

use almondsail_core::config::Change;
use almondsail_core::ids::WriteId;
use almondsail_core::store::Outcome;
use common::{Sim, create_service, create_version, stop_mark, submission};

/// Simulates four nodes with the versions `bays/v0` and `bays/v1`.
fn sim_with_versions() -> Sim {
    let mut sim = Sim::new(4, 3);
    let changes =
        [create_service("bays"), create_version("bays", "v0"), create_version("bays", "v1")];
    for (number, change) in changes.iter().enumerate() {
        sim.store.accept_directly(change, WriteId::new([number as u8 + 1; 16]), sim.wall());
    }
    sim.run(6_500);
    sim
}

fn stop_v1() -> Change {
    Change::AddStops { marks: vec![stop_mark("bays", "v1")], reason: "it fails".into() }
}

/// Guards against a stop that takes effect only after the store has recorded it.
#[test]
fn submit_stop_store_down() {
    let mut sim = sim_with_versions();
    sim.store.down = true;
    let id = sim.submit(1, submission(70, stop_v1()));
    sim.run(4_000);
    for index in 0..4 {
        let stops = sim.control(index).snapshot().stops;
        assert!(stops.contains(&stop_mark("bays", "v1")), "node {index} sends calls to bays/v1");
    }
    sim.run(3_000);
    assert_eq!(sim.nodes[1].outcomes.get(&id), Some(&Outcome::StoppedUnrecorded));
    sim.store.down = false;
    sim.run(10_000);
    let newest = sim.store.values.last().unwrap();
    assert!(newest.content.stops.contains(&stop_mark("bays", "v1")), "not recorded");
}

/// Guards against an operator of one team stopping a version of another team.
#[test]
fn submit_stop_wrong_team() {
    let mut sim = sim_with_versions();
    let team = Some("wellboats".parse().unwrap());
    let id =
        sim.submit(1, almondsail_core::store::Submission { team, ..submission(71, stop_v1()) });
    sim.run(2_000);
    assert!(matches!(sim.nodes[1].outcomes.get(&id), Some(Outcome::Refused(_))));
    assert!((0..4).all(|index| sim.control(index).snapshot().stops.is_empty()));
}

/// Guards against a dry run that puts a stop in force.
#[test]
fn submit_stop_dry_run() {
    let mut sim = sim_with_versions();
    let id = sim.submit(
        1,
        almondsail_core::store::Submission { dry_run: true, ..submission(72, stop_v1()) },
    );
    sim.run(2_000);
    assert!(matches!(sim.nodes[1].outcomes.get(&id), Some(Outcome::WouldAccept(_))));
    assert!((0..4).all(|index| sim.control(index).snapshot().stops.is_empty()));
}
