//! Tests of decoding heartbeats, node entries and progress that another writer left.

use almondsail_core::fleet::{Heartbeat, NodeEntry};
use almondsail_core::ids::{ConfigVersion, Incarnation};
use almondsail_seeded::properties;
use almondsail_wire::{
    decode_heartbeat, decode_node_entry, decode_progress, encode_heartbeat, encode_node_entry,
    fleet as wire,
};
use prost::Message as _;

/// Levels of an odd message; far beyond what a recursive parser has stack for.
const NESTING: usize = 100_000;
/// Smallest number that no counter, revision or time of day reaches.
const TOO_LARGE: u64 = 1 << 63;

type Edit = fn(&mut wire::Heartbeat);

fn node_entry() -> NodeEntry {
    NodeEntry {
        node: "n1".parse().unwrap(),
        inbound: "10.0.0.9:7000".parse().unwrap(),
        heartbeats: "10.0.0.9:7001".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        departed: None,
    }
}

fn heartbeat() -> wire::Heartbeat {
    let heartbeat = Heartbeat {
        entry: node_entry(),
        incarnation: Incarnation::new(1),
        sequence: 1,
        revision: 1,
        config_version: ConfigVersion::new(1),
        is_store_reached: true,
        is_leaving: false,
        backend: None,
        departures: Vec::new(),
        rollouts: Vec::new(),
        evacuations: None,
        confirmation: None,
        digest: None,
    };
    let mut heartbeat = wire::Heartbeat::decode(&*encode_heartbeat(&heartbeat)).unwrap();
    let text = |text: &str| text.to_owned();
    heartbeat.backend = Some(wire::Backend {
        id: text("i-1"),
        service: text("bays"),
        version: text("v1"),
        slots: 65_535,
        ..wire::Backend::default()
    });
    let (service, target) = (text("bays"), text("v2"));
    heartbeat.rollouts = vec![wire::Rollout { service, target, ..wire::Rollout::default() }];
    heartbeat.departures = vec![wire::Departure { id: text("i-2"), born: Some(TOO_LARGE - 1) }];
    heartbeat
}

/// Returns the first entry of the digest of `heartbeat`.
fn latest(heartbeat: &mut wire::Heartbeat) -> &mut wire::LatestHeartbeat {
    let digest = heartbeat.digest.get_or_insert_default();
    digest.latest = vec![wire::LatestHeartbeat { key: 1, sequence: 1, revision: 1 }];
    &mut digest.latest[0]
}

fn confirmation(heartbeat: &mut wire::Heartbeat) -> &mut wire::Confirmation {
    heartbeat.confirmation.get_or_insert_default()
}

fn evacuation(heartbeat: &mut wire::Heartbeat) -> &mut wire::Evacuation {
    let data_centre = "dc-a".to_owned();
    heartbeat.evacuations = vec![wire::Evacuation { data_centre, ..wire::Evacuation::default() }];
    &mut heartbeat.evacuations[0]
}

/// Lets `heartbeat` pass on a heartbeat that passes on others in turn.
fn nest_digest(heartbeat: &mut wire::Heartbeat) {
    latest(heartbeat);
    let nested = heartbeat.clone();
    heartbeat.digest.get_or_insert_default().changed.push(nested);
}

/// Guards against a heartbeat with a number out of range that is accepted and then shuts out later
/// ones or names a server without slots.
#[test]
fn decode_heartbeat_out_of_range() {
    assert!(decode_heartbeat(&heartbeat().encode_to_vec()).is_ok());
    let edits: [(&str, Edit); 20] = [
        ("incarnation", |h| h.incarnation = TOO_LARGE),
        ("sequence", |h| h.sequence = TOO_LARGE),
        ("revision", |h| h.revision = 2),
        ("latest[0].sequence", |h| latest(h).sequence = TOO_LARGE),
        ("latest[0].revision", |h| latest(h).revision = 2),
        ("changed", |h| nest_digest(h)),
        ("confirmation.revision", |h| confirmation(h).revision = TOO_LARGE),
        ("confirmation.era", |h| confirmation(h).era = TOO_LARGE),
        ("evacuations[0].evacuation.revision", |h| evacuation(h).revision = TOO_LARGE),
        ("evacuations[0].evacuation.era", |h| evacuation(h).era = TOO_LARGE),
        ("evacuations[0].data_centre", |h| evacuation(h).data_centre.clear()),
        ("config_version", |h| h.config_version = u64::MAX),
        ("departures[0].born", |h| h.departures[0].born = Some(TOO_LARGE)),
        ("slots", |h| h.backend.as_mut().unwrap().slots = 0),
        ("slots", |h| h.backend.as_mut().unwrap().slots = 65_536),
        ("born", |h| h.backend.as_mut().unwrap().born = TOO_LARGE),
        ("rollouts[0].order", |h| h.rollouts[0].order = TOO_LARGE),
        ("door", |h| h.entry.as_mut().unwrap().door = "10.0.0.9:70000".to_owned()),
        ("door", |h| h.entry.as_mut().unwrap().door = "10.0.0.9:0".to_owned()),
        ("heartbeats", |h| h.entry.as_mut().unwrap().heartbeats = "10.0.0.9:0".to_owned()),
    ];
    for (path, edit) in edits {
        let mut odd = heartbeat();
        edit(&mut odd);
        let error = decode_heartbeat(&odd.encode_to_vec()).expect_err(path).to_string();
        assert!(error.starts_with(path), "{error} does not name {path}");
    }
}

/// Guards against an entry in the store with a port or a number out of range that is accepted.
#[test]
fn decode_node_entry_out_of_range() {
    let read = wire::NodeEntry::decode(&*encode_node_entry(&node_entry())).unwrap();
    let ports = ["10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9", "[::1]:0"];
    for port in ports {
        let odd = wire::NodeEntry { door: port.to_owned(), ..read.clone() };
        assert!(decode_node_entry(&odd.encode_to_vec()).is_err(), "{port}");
        let odd = wire::NodeEntry { heartbeats: port.to_owned(), ..read.clone() };
        assert!(decode_node_entry(&odd.encode_to_vec()).is_err(), "{port}");
    }
    let departed = wire::Departure { id: "i-1".to_owned(), born: Some(TOO_LARGE) };
    let odd = wire::NodeEntry { departed: Some(departed), ..read };
    assert!(decode_node_entry(&odd.encode_to_vec()).is_err());
}

/// Guards against progress in the store with a number out of range that is accepted, after which
/// every order of the service counts as an earlier one.
#[test]
fn decode_progress_out_of_range() {
    let read = wire::RolloutProgress {
        service: "bays".to_owned(),
        target: "v2".to_owned(),
        order: TOO_LARGE - 1,
        ..wire::RolloutProgress::default()
    };
    assert!(decode_progress(&read.encode_to_vec()).is_ok());
    let odd = wire::RolloutProgress { order: TOO_LARGE, ..read };
    assert!(decode_progress(&odd.encode_to_vec()).is_err());
}

/// Guards against deeply nested bytes that end the process.
#[test]
fn decode_nested() {
    let start_group = |field: u8| vec![field << 3 | 3; NESTING];
    let end_group = |field: u8| vec![field << 3 | 4; NESTING];
    for field in [1, 4, 15] {
        let nested = [start_group(field), end_group(field)].concat();
        assert!(decode_node_entry(&nested).is_err());
        assert!(decode_progress(&nested).is_err());
        assert!(decode_heartbeat(&nested).is_err());
    }
    // A message within a message, to as many levels as fit.
    let mut nested: Vec<u8> = Vec::new();
    for _ in 0..NESTING / 10 {
        let mut outer = vec![1 << 3 | 2];
        prost::encoding::encode_varint(nested.len() as u64, &mut outer);
        outer.append(&mut nested);
        nested = outer;
    }
    assert!(decode_node_entry(&nested).is_err());
    assert!(decode_heartbeat(&nested).is_err());
}

properties! {
    /// Guards against bytes of another writer that end the process.
    fn decode_any_bytes(bytes: Vec<u8>) -> bool {
        let _refused = (decode_node_entry(&bytes), decode_progress(&bytes));
        decode_heartbeat(&bytes).is_err()
    }

    /// Guards against a heartbeat with one wrong byte that ends the process.
    fn decode_heartbeat_changed_byte(place: usize, byte: u8) -> bool {
        let mut bytes = heartbeat().encode_to_vec();
        let place = place % bytes.len();
        bytes[place] = byte;
        let read = decode_heartbeat(&bytes);
        read.is_err() || read.is_ok_and(|read| read.backend.is_none_or(|b| b.slots > 0))
    }
}
