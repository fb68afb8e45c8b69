//! Messages between the nodes of a fleet, and the values that they keep in the store.

use almondsail_core::fleet::{
    Confirmation, EvacuationDigest, EvacuationNotice, Evacuations, Heartbeat, LatestHeartbeat,
    NodeDigest, NodeEntry, NodeKey, RolloutProgress, RolloutReport,
};
use almondsail_core::ids::{ConfigVersion, Incarnation};
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::{Millis, UnixMillis};
use almondsail_wire::{decode_heartbeat, decode_progress, encode_heartbeat, encode_progress};

fn heartbeat(order_era: Option<StoreEra>) -> Heartbeat {
    let address = "10.0.0.1:7000".parse().unwrap();
    let report = RolloutReport {
        service: "bays".parse().unwrap(),
        target: "v2".parse().unwrap(),
        order: Revision::new(60),
        order_era,
        duration: Millis::new(15_000),
        elapsed: Millis::new(10),
        is_stopped: false,
        outcome: None,
        evidence: None,
    };
    Heartbeat {
        entry: NodeEntry {
            node: "n1".parse().unwrap(),
            inbound: address,
            heartbeats: address,
            data_centre: "dc-a".parse().unwrap(),
            departed: None,
        },
        incarnation: Incarnation::new(1),
        sequence: 7,
        revision: 3,
        config_version: ConfigVersion::new(5),
        is_store_reached: true,
        is_leaving: false,
        backend: None,
        departures: Vec::new(),
        rollouts: vec![report],
        evacuations: None,
        confirmation: None,
        digest: None,
    }
}

/// Guards against an era that is lost on the way, and against one of an earlier build, which names
/// none, that is taken for the first one.
#[test]
fn heartbeat_order_era() {
    for era in [None, Some(StoreEra::new(0)), Some(StoreEra::new(3))] {
        let sent = heartbeat(era);
        assert_eq!(decode_heartbeat(&encode_heartbeat(&sent)).unwrap(), sent);
    }
}

/// Guards against an order that is mistaken for one of another era after its progress was read.
#[test]
fn progress_order_era() {
    let written = RolloutProgress {
        service: "bays".parse().unwrap(),
        target: "v2".parse().unwrap(),
        order: StorePosition::new(StoreEra::new(3), Revision::new(60)),
        duration: Millis::new(15_000),
        started: UnixMillis::new(1_000_000),
        outcome: None,
    };
    assert_eq!(decode_progress(&encode_progress(&written)).unwrap(), written);
}

/// Guards against an order, a withdrawal or their era that is lost on the way, and against heartbeats
/// that differ from those of earlier builds though there were no orders.
#[test]
fn heartbeat_evacuations() {
    let notice = |data_centre: &str, is_ordered, era| EvacuationNotice {
        data_centre: data_centre.parse().unwrap(),
        is_ordered,
        position: StorePosition::new(StoreEra::new(era), Revision::new(60)),
    };
    let notices = vec![notice("dc-a", true, 0), notice("dc-b", false, 3)];
    let evacuations = Some(Box::new(EvacuationDigest { notices }));
    let sent = Heartbeat { evacuations, ..heartbeat(None) };
    assert_eq!(decode_heartbeat(&encode_heartbeat(&sent)).unwrap(), sent);
    let too_many = vec![notice("dc-a", true, 0); Evacuations::MAX_KNOWN + 1];
    let evacuations = Some(Box::new(EvacuationDigest { notices: too_many }));
    assert!(decode_heartbeat(&encode_heartbeat(&Heartbeat { evacuations, ..sent })).is_err());
    let empty = Some(Box::new(EvacuationDigest::default()));
    let without = encode_heartbeat(&heartbeat(None));
    let with_empty = encode_heartbeat(&Heartbeat { evacuations: empty, ..heartbeat(None) });
    assert_eq!(without, with_empty);
}

/// Guards against a proof of the operator's keys that is lost or refers to another era on the way.
#[test]
fn heartbeat_confirmation() {
    let position = StorePosition::new(StoreEra::new(3), Revision::new(60));
    let confirmation = Some(Confirmation { position, age: Millis::new(740) });
    let sent = Heartbeat { confirmation, ..heartbeat(None) };
    assert_eq!(decode_heartbeat(&encode_heartbeat(&sent)).unwrap(), sent);
}

/// Guards against a digest of other nodes that is lost or mixed up on the way.
#[test]
fn heartbeat_digest() {
    let mut sent = heartbeat(None);
    let key = NodeKey::new(u64::MAX);
    sent.digest = Some(Box::new(NodeDigest {
        changed: vec![Heartbeat { rollouts: Vec::new(), ..heartbeat(None) }],
        latest: vec![LatestHeartbeat { key, sequence: 9, revision: 4 }],
        wanted: vec![NodeKey::new(5), NodeKey::new(6)],
    }));
    assert_eq!(decode_heartbeat(&encode_heartbeat(&sent)).unwrap(), sent);
}
