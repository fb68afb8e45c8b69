//! Tests of the datagrams about quotas, also of those that another writer sent.

use almondsail_core::ids::{ConfigVersion, QuotaRequestId};
use almondsail_core::quota::{QuotaGrant, QuotaMessage, QuotaRequest, TokenCount};
use almondsail_core::units::Millis;
use almondsail_seeded::properties;
use almondsail_wire::fleet::quota_datagram::Kind;
use almondsail_wire::{
    decode_quota_message, encode_quota_message, fleet as wire, is_quota_datagram,
};
use prost::Message as _;

fn encode(kind: Option<Kind>) -> Vec<u8> {
    let mut bytes = vec![0];
    wire::QuotaDatagram { kind }.encode(&mut bytes).unwrap();
    bytes
}

fn request() -> wire::QuotaRequest {
    wire::QuotaRequest { id: 1, team: "acme".into(), wanted: 2, config_version: 3, max_wait_ms: 9 }
}

fn grant() -> wire::QuotaGrant {
    wire::QuotaGrant { id: 1, team: "acme".into(), granted: 2, expires_ms: 400, retry_after_ms: 0 }
}

properties! {
    /// Guards against fields that are lost or mixed up on the way.
    fn decode_encoded_message(id: u64, count: u16, millis: u16) -> bool {
        let (id, team) = (QuotaRequestId::new(id), "acme".parse().unwrap());
        let tokens = TokenCount::new(u32::from(count) + 1);
        let time = Millis::new(millis.into());
        let request = QuotaMessage::Request(QuotaRequest {
            id,
            team,
            wanted: tokens,
            max_wait: time,
            config_version: ConfigVersion::new(count.into()),
        });
        let grant = QuotaMessage::Grant(QuotaGrant {
            id,
            team: "acme".parse().unwrap(),
            granted: tokens,
            expires: time.min(QuotaGrant::MAX_LIFETIME),
            retry_after: time,
        });
        [request, grant].iter().all(|message| {
            let bytes = encode_quota_message(message);
            is_quota_datagram(&bytes) && decode_quota_message(&bytes).as_ref() == Ok(message)
        })
    }

    /// Guards against a datagram that stops the node.
    fn decode_any_bytes(bytes: Vec<u8>) -> bool {
        let _ = decode_quota_message(&bytes);
        let _ = decode_quota_message(&[&[0], &bytes[..]].concat());
        true
    }
}

/// Guards against grants and requests out of range, which would widen a limit.
#[test]
fn decode_out_of_range() {
    let team = "no team".to_owned();
    let requests = [
        wire::QuotaRequest { wanted: 0, ..request() },
        wire::QuotaRequest { wanted: -1, ..request() },
        wire::QuotaRequest { wanted: 100_001, ..request() },
        wire::QuotaRequest { team: team.clone(), ..request() },
        wire::QuotaRequest { config_version: u64::MAX, ..request() },
    ];
    let grants = [
        wire::QuotaGrant { granted: -1, ..grant() },
        wire::QuotaGrant { granted: i64::MAX, ..grant() },
        wire::QuotaGrant { expires_ms: 401, ..grant() },
        wire::QuotaGrant { retry_after_ms: u32::MAX, ..grant() },
        wire::QuotaGrant { team, ..grant() },
    ];
    let requests = requests.into_iter().map(Kind::Request);
    for kind in requests.chain(grants.into_iter().map(Kind::Grant)) {
        let text = format!("{kind:?}");
        assert!(decode_quota_message(&encode(Some(kind))).is_err(), "{text}");
    }
    assert!(decode_quota_message(&encode(None)).is_err());
    for kind in [Kind::Request(request()), Kind::Grant(grant())] {
        assert!(decode_quota_message(&encode(Some(kind))).is_ok());
    }
}
