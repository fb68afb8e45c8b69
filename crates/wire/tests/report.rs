//! Tests of encoding and decoding the usage counts of the teams' reports.

use almondsail_core::config::ServerVersion;
use almondsail_core::control::PeerMessage;
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::report::{
    AccountingRecord, CallCounts, ChangeSums, Cost, HourSums, HourValue, Minute, NodeMinutes,
    RolloutEnd, RolloutRecord, Sums,
};
use almondsail_core::units::{ByteCount, Micros, Millis, UnixMillis};
use almondsail_wire::{decode_hour, decode_message, encode_hour, encode_message};

fn sums() -> Sums {
    let mut sums = Sums {
        cost: Cost { cpu: Micros::new(1), bytes: ByteCount::new(2), store_calls: 3 },
        teams: [(
            "depots".parse().unwrap(),
            CallCounts { delivered: 4, late: 5, refused: 6, in_doubt: 7 },
        )]
        .into(),
        new_version_calls: [(
            ServerVersion { service: "bays".parse().unwrap(), version: "v2".parse().unwrap() },
            8,
        )]
        .into(),
        ..Sums::default()
    };
    for (version, team) in [(1, Some("depots".parse().unwrap())), (2, None)] {
        let accepted = UnixMillis::new(9);
        let longest = Millis::new(12);
        let change = ChangeSums { team, accepted, nodes: 10, expected: 11, longest };
        sums.changes.insert(ConfigVersion::new(version), change);
    }
    for (started, end) in
        [RolloutEnd::InTime, RolloutEnd::Late, RolloutEnd::RolledBack { new_version_calls: None }]
            .into_iter()
            .enumerate()
    {
        sums.add_rollout(&RolloutRecord {
            team: "depots".parse().unwrap(),
            service: "bays".parse().unwrap(),
            version: "v2".parse().unwrap(),
            started: UnixMillis::new(started as u64),
            ended: UnixMillis::new(13),
            end,
        });
    }
    sums
}

fn value() -> HourValue {
    let nodes = NodeMinutes { expected: 14, received: 15 };
    HourValue {
        sums: HourSums { minutes: [(Minute::new(16), nodes)].into(), sums: sums() },
        writes: vec![WriteId::new([17; WriteId::BYTES]), WriteId::new([18; WriteId::BYTES])],
    }
}

/// Guards against a count that is lost when hourly sums are stored and read back.
#[test]
fn decode_hour_round_trip() {
    assert_eq!(decode_hour(&encode_hour(&value())).unwrap(), value());
}

/// Guards against accepting hourly sums that were corrupted or truncated in the store.
#[test]
fn decode_hour_damaged() {
    let bytes = encode_hour(&value());
    for i in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[i] ^= 0x41;
        assert!(decode_hour(&damaged).is_err(), "byte {i} changed the sums unnoticed");
        assert!(decode_hour(&bytes[..i]).is_err(), "accepted the first {i} bytes");
    }
}

/// Guards against a count that is lost between a node and the collector.
#[test]
fn decode_message_accounting() {
    let node = "n1".parse().unwrap();
    let record =
        AccountingRecord { node, minute: Minute::new(19), covers_minute: true, sums: sums() };
    let message = PeerMessage::Accounting(Box::new(record));
    assert_eq!(decode_message(&encode_message(&message)).unwrap(), message);
}
