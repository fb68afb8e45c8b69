//! Tests of the configuration in force and its transfer.

use std::sync::Arc;

use almondsail_core::config::{Config, ConfigContent, Delta, Service};
use almondsail_core::control::PeerMessage;
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::sync::{ConfigSync, Offer, SNAPSHOTS_PER_SECOND};
use almondsail_core::units::{Instant, Millis};

/// Returns a configuration with one service, which names a missing version unless `valid`.
fn config(version: u64, valid: bool) -> Arc<Config> {
    let stable = (!valid).then(|| "v1".parse().expect("a name"));
    let name: almondsail_core::ids::ServiceName = "bays".parse().expect("a name");
    let service = Service { name: name.clone(), team: "depots".parse().expect("a name"), stable };
    let content = ConfigContent { services: [(name, service)].into(), ..ConfigContent::default() };
    let (version, write_id) = (ConfigVersion::new(version), WriteId::new([version as u8; 16]));
    Arc::new(Config { version, write_id, content, history: Vec::new() })
}

/// Guards against an older or invalid configuration being put in force.
#[test]
fn offer_versions() {
    let mut sync = ConfigSync::default();
    assert_eq!(sync.offer(config(2, true)), Offer::Applied);
    assert_eq!(sync.offer(config(2, true)), Offer::Same);
    assert_eq!(sync.offer(config(1, true)), Offer::Older);
    assert_eq!(sync.offer(config(3, false)), Offer::Invalid);
    assert_eq!(sync.version(), ConfigVersion::new(2));
}

/// Guards against a delta that is applied to another base, or that gives another result than
/// it states.
#[test]
fn offer_delta_mismatch() {
    let mut sync = ConfigSync::default();
    sync.offer(config(2, true));
    let other_base = Delta::between(&config(1, true), &config(3, true));
    assert_eq!(sync.offer_delta(&other_base), Offer::WrongBase);
    let wrong_result =
        Delta { result: other_base.base, ..Delta::between(&config(2, true), &config(3, true)) };
    assert_eq!(sync.offer_delta(&wrong_result), Offer::Invalid);
    assert_eq!(
        sync.offer_delta(&Delta::between(&config(2, true), &config(3, true))),
        Offer::Applied
    );
}

/// Guards against more snapshots per second than a node may serve, and against a snapshot where
/// a delta is enough.
#[test]
fn serve_limit() {
    let mut sync = ConfigSync::default();
    sync.offer(config(1, true));
    let base = sync.digest();
    sync.offer(config(2, true));
    let at = |millis: u64| Instant::new(millis * 1_000);
    for _ in 0..SNAPSHOTS_PER_SECOND {
        assert!(matches!(sync.answer_pull(None, at(0)), PeerMessage::ConfigSnapshot(_)));
    }
    assert_eq!(sync.answer_pull(None, at(999)), PeerMessage::Busy(Millis::new(1_000)));
    assert!(matches!(sync.answer_pull(base, at(999)), PeerMessage::ConfigDelta(_)));
    assert!(matches!(sync.answer_pull(None, at(1_000)), PeerMessage::ConfigSnapshot(_)));
}
