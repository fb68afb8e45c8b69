//! Tests of encoding and decoding configurations and peer messages.

use almondsail_core::config::{Change, Config, ConfigContent, HistoryEntry, ServerVersion};
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::units::UnixMillis;
use almondsail_seeded::properties;
use almondsail_wire::{decode_config, decode_message, encode_config};

fn sample() -> Config {
    let now = UnixMillis::new(1_000);
    let changes = [
        Change::CreateService { name: "bays".parse().unwrap(), team: "depots".parse().unwrap() },
        Change::CreateVersion(ServerVersion {
            service: "bays".parse().unwrap(),
            version: "v1".parse().unwrap(),
        }),
    ];
    let content = changes
        .iter()
        .fold(ConfigContent::default(), |content, change| change.apply(&content, now).unwrap());
    let entry = HistoryEntry {
        version: ConfigVersion::new(1),
        write_id: WriteId::new([7; WriteId::BYTES]),
        at: now,
        service: Some("bays".parse().unwrap()),
        operator: "ana".parse().unwrap(),
        summary: "first".into(),
    };
    Config::successor(None, content, entry)
}

/// Guards against a field that is lost when a configuration is stored and read back.
#[test]
fn decode_config_round_trip() {
    let cfg = sample();
    assert_eq!(decode_config(&encode_config(&cfg)).unwrap(), cfg);
}

/// Guards against applying a configuration of which a byte was corrupted in the store.
#[test]
fn decode_config_damaged() {
    let bytes = encode_config(&sample());
    for i in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[i] ^= 0x41;
        if let Ok(cfg) = decode_config(&damaged) {
            assert_eq!(cfg, sample(), "byte {i} changed the configuration unnoticed");
        }
    }
}

/// Guards against accepting a truncated configuration.
#[test]
fn decode_config_truncated() {
    let bytes = encode_config(&sample());
    for len in 0..bytes.len() {
        assert!(decode_config(&bytes[..len]).is_err(), "accepted the first {len} bytes");
    }
}

properties! {
    /// Guards against a panic on malformed bytes from the network.
    fn decode_message_any_bytes(bytes: Vec<u8>) -> bool {
        let _ = decode_message(&bytes);
        true
    }
}
