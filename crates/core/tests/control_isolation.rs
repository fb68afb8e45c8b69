//! Failure detection by nodes that are cut off or paused.

mod common;

use almondsail_core::peers::{Peer, PeerStatus};
use common::{Sim, checker};

/// Returns a simulation of 3 to 8 joined nodes, and the index of one of them.
fn started_sim(nodes: u8, seed: u64) -> (Sim, usize) {
    let nodes = 3 + usize::from(nodes) % 6;
    let mut sim = Sim::new(nodes, seed);
    sim.run(6_000);
    (sim, seed as usize % nodes)
}

/// Guards against a node that loses its network and declares the other nodes dead.
#[test]
fn suspect_while_cut_off() {
    fn property(nodes: u8, seed: u64, time: u16) {
        let (mut sim, node) = started_sim(nodes, seed);
        sim.cut_off([node].into());
        sim.run(5_000 + u64::from(time) % 20_000);
        sim.cut_off([].into());
        sim.run(10_000);
        assert_eq!(sim.nodes[node].declared_dead, [], "node {node}");
    }
    checker(40).quickcheck(property as fn(u8, u64, u16));
}

/// Guards against a process that declares nodes dead after a pause, because suspicions or pings
/// timed out while it could not read the replies.
#[test]
fn suspect_after_pause() {
    fn property(nodes: u8, seed: u64, before: u16, time: u16) {
        let (mut sim, node) = started_sim(nodes, seed);
        // Another node is suspected when the pause begins, and refutes this during the pause.
        sim.cut_off([(node + 1) % sim.nodes.len()].into());
        sim.run(2_000 + u64::from(before) % 2_000);
        sim.cut_off([].into());
        sim.pause(node, 3_000 + u64::from(time) % 20_000);
        sim.run(40_000);
        assert_eq!(sim.nodes[node].declared_dead, [], "node {node}");
    }
    checker(40).quickcheck(property as fn(u8, u64, u16, u16));
}

/// Guards against a stopped node that is declared dead too late or never.
#[test]
fn suspect_dead_node() {
    let mut sim = Sim::new(6, 3);
    sim.run(6_000);
    sim.stop(4);
    sim.run(8_500);
    for index in [0, 1, 2, 3, 5] {
        assert!(sim.nodes[index].declared_dead.contains(&common::node_id(4)), "node {index}");
    }
}

/// Guards against the halves of a partition staying dead to each other after it heals.
#[test]
fn probe_after_partition() {
    for seed in 0..10 {
        let mut sim = Sim::new(6, seed);
        sim.run(6_000);
        sim.cut_off([0, 2, 4].into());
        sim.run(30_000);
        assert!(
            sim.nodes.iter().any(|slot| !slot.declared_dead.is_empty()),
            "no half is held dead"
        );
        sim.cut_off([].into());
        sim.run(6_000);
        for index in 0..6 {
            let is_alive = |peer: &Peer| peer.status == PeerStatus::Alive;
            assert!(sim.control(index).peers().all(is_alive), "node {index}, seed {seed}");
        }
    }
}

/// Guards against two groups that started in a partition and never join each other.
#[test]
fn probe_unknown_seed() {
    let mut sim = Sim::new(4, 1);
    sim.cut_off([0, 2].into());
    sim.run(10_000);
    assert!((0..4).all(|index| sim.control(index).peers().count() == 2));
    sim.cut_off([].into());
    sim.run(4_000);
    assert!((0..4).all(|index| sim.control(index).peers().count() == 4));
}
