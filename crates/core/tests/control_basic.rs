//! Tests of `Control` without faults.

mod common;

use almondsail_core::ids::ConfigVersion;
use almondsail_core::store::Outcome;
use common::{Sim, create_service, submission};

/// Guards against a change that is accepted but does not reach traffic on every node.
#[test]
fn handle_submission_reaches_all() {
    let mut sim = Sim::new(2, 1);
    sim.run(6_500);
    let id = sim.submit(1, submission(1, create_service("bays")));
    sim.run(1_000);
    let accepted = ConfigVersion::new(1);
    assert_eq!(sim.nodes[1].outcomes.get(&id), Some(&Outcome::Accepted(accepted)));
    for index in 0..2 {
        assert!(sim.control(index).status().is_joined, "node {index}");
        assert_eq!(sim.published(index), accepted, "node {index}");
    }
}
