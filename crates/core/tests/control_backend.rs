//! Tests of backend announcements, planned stops and stop marks in `Control`.

mod common;

use almondsail_core::config::{Change, ServerVersion};
use almondsail_core::control::Event;
use almondsail_core::peers::{AnnouncedBackend, BackendState, PeerStatus};
use almondsail_core::store::{Outcome, RefusedChange};
use common::{Sim, create_service, create_version, name, node_id, stop_mark, submission};

fn backend(state: BackendState) -> AnnouncedBackend {
    let (service, version) = (name("bays"), name("v1"));
    AnnouncedBackend { service, version, slots: 12, connections: 130, state }
}

/// Simulates two nodes with the service `bays` and its version `v1`.
fn sim_with_service() -> Sim {
    let mut sim = Sim::new(2, 5);
    sim.run(6_500);
    sim.submit(0, submission(1, create_service("bays")));
    sim.submit(0, submission(2, create_version("bays", "v1")));
    sim.run(1_000);
    sim
}

fn endpoints(sim: &Sim, index: usize) -> usize {
    let snapshot = sim.control(index).snapshot();
    let service = snapshot.service(&name("bays")).expect("bays exists");
    service.endpoints.values().map(|list| list.len()).sum()
}

/// Guards against a backend server that other nodes don't find, or that gets calls after its
/// heartbeats ended.
#[test]
fn announce_backend_expires() {
    let mut sim = sim_with_service();
    for _ in 0..5 {
        sim.event(0, Event::BackendAnnounced(backend(BackendState::Ready)));
        sim.run(1_000);
        assert_eq!(endpoints(&sim, 1), 1);
    }
    sim.run(3_000);
    assert_eq!(endpoints(&sim, 1), 0);
}

/// Guards against a heartbeat that makes a leaving backend server available again.
#[test]
fn announce_backend_leaving() {
    let mut sim = sim_with_service();
    sim.event(0, Event::BackendAnnounced(backend(BackendState::Ready)));
    sim.run(100);
    sim.event(0, Event::BackendLeaving);
    sim.event(0, Event::BackendAnnounced(backend(BackendState::Ready)));
    sim.run(100);
    assert_eq!(endpoints(&sim, 1), 0);
    sim.event(0, Event::BackendAnnounced(backend(BackendState::Starting)));
    sim.run(100);
    assert_eq!(endpoints(&sim, 1), 1, "a new process takes calls");
}

/// Guards against a stopping node that still gets calls or accepts submissions.
#[test]
fn stop_requested_announces() {
    let mut sim = sim_with_service();
    sim.event(0, Event::BackendAnnounced(backend(BackendState::Ready)));
    sim.event(0, Event::StopRequested);
    sim.run(100);
    assert_eq!(endpoints(&sim, 1), 0);
    assert!(sim.control(0).snapshot().leaving);
    let status = sim.control(1).peers().find(|peer| peer.id == node_id(0)).map(|p| p.status);
    assert_eq!(status, Some(PeerStatus::Leaving));
    let id = sim.submit(0, submission(3, create_service("taller")));
    assert_eq!(sim.nodes[0].outcomes[&id], Outcome::Refused(RefusedChange::Stopping));
}

/// Guards against a stop mark that returns after an operator cleared it, through a node that
/// was cut off and missed the version that cleared it.
#[test]
fn stop_mark_cleared_stays() {
    let mut sim = Sim::new(3, 5);
    sim.run(6_500);
    sim.submit(0, submission(1, create_service("bays")));
    sim.submit(0, submission(2, create_version("bays", "v1")));
    sim.run(1_000);
    let marks = vec![stop_mark("bays", "v1")];
    sim.event(0, Event::VersionFailed { marks, reason: "it failed".into() });
    sim.run(10);
    assert!(!sim.control(2).snapshot().stops.is_empty(), "the mark is pushed");
    sim.cut_off([2].into());
    sim.run(10_000);
    assert!(sim.store.values.last().is_some_and(|cfg| !cfg.content.stops.is_empty()), "recorded");
    let version = ServerVersion { service: name("bays"), version: name("v1") };
    sim.submit(0, submission(3, Change::ClearStop(version)));
    sim.run(2_000);
    sim.cut_off([].into());
    sim.run(12_000);
    for index in 0..3 {
        assert!(sim.control(index).snapshot().stops.is_empty(), "node {index}");
    }
}

/// Guards against a stop mark that never reaches a node because its push was lost and the store
/// is down.
#[test]
fn stop_mark_repaired() {
    let mut sim = sim_with_service();
    (sim.store.down, sim.loss) = (true, 100);
    let marks = vec![stop_mark("bays", "v1")];
    sim.event(0, Event::VersionFailed { marks: marks.clone(), reason: "it failed".into() });
    sim.run(300);
    sim.loss = 0;
    sim.run(4_000);
    assert!(sim.control(1).snapshot().stops.contains(&marks[0]));
}
