//! Tests of the peer table, links and rendezvous ranks.

mod common;

use almondsail_core::ids::{Incarnation, NodeId};
use almondsail_core::peers::{Links, Merge, Peer, PeerStatus, PeerTable, rank};
use almondsail_core::units::Instant;
use common::{addr, checker, name, node_id};

const NOW: Instant = Instant::new(0);

fn peer(index: usize, incarnation: u64, status: PeerStatus) -> Peer {
    Peer {
        id: node_id(index),
        host: name("h1"),
        data_centre: name("dc1"),
        region: name("r1"),
        peer_addr: addr(index),
        inbound_addr: addr(index),
        incarnation: Incarnation::new(incarnation),
        status,
        backend: None,
    }
}

fn table() -> PeerTable {
    PeerTable::new(peer(0, 5, PeerStatus::Alive), NOW)
}

fn status(table: &PeerTable, index: usize) -> Option<PeerStatus> {
    table.get(&node_id(index)).map(|peer| peer.status)
}

/// Guards against tables that differ because they merged the same entries in another order.
#[test]
fn merge_order() {
    fn property(entries: Vec<(u8, u8, u8)>) -> bool {
        // Without dead entries, which only start a suspicion.
        let peer_of = |(index, incarnation, status): &(u8, u8, u8)| {
            let status = PeerStatus::ALL[usize::from(status % 3)];
            peer(1 + usize::from(index % 8), u64::from(incarnation % 4), status)
        };
        let peers: Vec<Peer> = entries.iter().map(peer_of).collect();
        let (mut forward, mut backward) = (table(), table());
        peers.iter().for_each(|peer| _ = forward.merge(peer.clone(), NOW));
        peers.iter().rev().for_each(|peer| _ = backward.merge(peer.clone(), NOW));
        let equal =
            forward.digest() == backward.digest() && forward.buckets() == backward.buckets();
        equal && forward.differing(backward.buckets()).is_empty()
    }
    checker(200).quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against other nodes changing this node's own entry.
#[test]
fn merge_own_refuted() {
    let mut table = table();
    assert_eq!(table.merge(peer(0, 5, PeerStatus::Dead), NOW), Merge::Refuted);
    assert_eq!(table.own().incarnation, Incarnation::new(6));
    assert_eq!(table.own().status, PeerStatus::Alive);
    assert_eq!(table.merge(peer(0, 5, PeerStatus::Dead), NOW), Merge::Unchanged);
}

/// Guards against a node that is declared dead by another node's entry, before it can refute.
#[test]
fn merge_dead_suspected() {
    let mut table = table();
    table.merge(peer(1, 1, PeerStatus::Alive), NOW);
    assert_eq!(table.merge(peer(1, 1, PeerStatus::Dead), NOW), Merge::Changed);
    assert_eq!(status(&table, 1), Some(PeerStatus::Suspected));
    assert_eq!(table.merge(peer(2, 1, PeerStatus::Dead), NOW), Merge::Unchanged);
}

/// Guards against dead entries that are kept forever, or dropped too early to be probed.
#[test]
fn expire_dead() {
    let mut table = table();
    table.merge(peer(1, 1, PeerStatus::Alive), NOW);
    table.set_status(&node_id(1), PeerStatus::Dead, NOW);
    table.expire(Instant::new(3_599_000_000));
    assert_eq!(status(&table, 1), Some(PeerStatus::Dead));
    table.expire(Instant::new(3_600_000_000));
    assert_eq!(status(&table, 1), None);
}

/// Guards against a node without links, with itself as a link, or with too many links.
#[test]
fn links_of_ring() {
    for len in 1..40 {
        let ids: Vec<NodeId> = (0..len).map(node_id).collect();
        let ring: Vec<&NodeId> = ids.iter().collect();
        for (index, id) in ids.iter().enumerate() {
            let links = Links::of(&ring, index);
            assert!(!links.both().contains(id));
            assert_eq!(links.outgoing.len(), links.incoming.len());
            assert_eq!(links.outgoing.is_empty(), len == 1);
            assert!(links.outgoing.len() <= 3 + len.ilog2() as usize);
        }
    }
}

/// Guards against the loss of a node changing the ranks for keys for which it did not rank.
#[test]
fn rank_loss() {
    let ids: Vec<NodeId> = (0..20).map(node_id).collect();
    for key in 0..50 {
        let key = format!("key{key}");
        let ranked = rank(&key, ids.iter(), 20);
        let without_last = rank(&key, ids.iter().filter(|id| *id != ranked[19]), 2);
        assert_eq!(without_last, ranked[..2]);
    }
}
