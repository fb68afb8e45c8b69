//! A node that can read only a part of the configuration in the store.

mod fleet_common;

use std::collections::HashSet;
use std::sync::Arc;

use almondsail_core::fleet::{
    ConfigProblem, FleetAction, FleetEvent, Heartbeat, KeySpace, MeshConfig, MeshConfigBuilder,
    MeshRoute, PartialConfig, ServiceSettings, StoreItem, StoreKey, StoredValue, UnknownType,
};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::store::Revision;
use fleet_common::node::{Node, config_item};
use fleet_common::{config, heartbeat, peer_config, route};

/// Returns a configuration with the routes `safe` and `odd`, which are idempotent, and `unsafe`. The
/// entry of `odd` has an unknown field.
fn partial(version: u64) -> MeshConfig {
    MeshConfigBuilder::new(ConfigVersion::new(version))
        .service("bays".parse().unwrap(), ServiceSettings::default())
        .route(MeshRoute { idempotent: true, ..route("safe", "/safe/", "bays") })
        .route(MeshRoute { idempotent: true, ..route("odd", "/odd/", "bays") })
        .route(MeshRoute { idempotent: false, ..route("unsafe", "/unsafe/", "bays") })
        .partial(HashSet::from(["odd".parse().unwrap()]))
        .build()
        .unwrap()
}

fn partial_item(version: u64, revision: u64) -> StoreItem {
    let unknown_types = vec![UnknownType::new("mirrors", 1)];
    let partial = PartialConfig { config: Arc::new(partial(version)), unknown_types };
    let value = StoredValue::Config(Err(ConfigProblem::UnknownTypes(partial)));
    StoreItem { key: StoreKey::Config, revision: Revision::new(revision), value }
}

fn heartbeat_with_config(sequence: u64, version: u64) -> FleetEvent {
    let config_version = ConfigVersion::new(version);
    FleetEvent::Heartbeat(Heartbeat { config_version, ..heartbeat(2, sequence) })
}

fn has_reported(node: &Node, kind: &str) -> bool {
    let is_kind = |action: &FleetAction| matches!(action, FleetAction::Report(change) if change.kind() == kind);
    node.actions.iter().any(is_kind)
}

/// Guards against a part of a configuration that serves calls which must not run twice, or whose
/// route may mean something else.
#[test]
fn serves_every_route() {
    let config = partial(1);
    let serves = |path| config.serves(config.route("a.example", path).unwrap());
    assert_eq!((serves("/safe/"), serves("/odd/"), serves("/unsafe/")), (true, false, false));
}

/// Guards against a node that serves nothing because it finds an unknown type at its start, and
/// against one that serves the part before it could hear of a whole configuration.
#[test]
fn partial_at_start() {
    let mut node = Node::started(vec![partial_item(5, 50)]);
    assert_eq!(node.version(), 0);
    assert!(has_reported(&node, "config_refused") && has_reported(&node, "config_type_unknown"));
    node.advance(1_000);
    assert_eq!(node.version(), 5);
    assert!(node.control.config().is_none(), "a part must not be passed on");
    node.report_change(KeySpace::Operator, config_item(6, 101));
    assert_eq!(node.version(), 6);
    assert!(!node.control.view(node.now).config.unwrap().is_partial);
}

/// Guards against a part of a configuration that replaces the whole one in force.
#[test]
fn partial_later() {
    let mut node = Node::started(vec![config_item(5, 50)]);
    node.report_change(KeySpace::Operator, partial_item(6, 101));
    node.advance(1_000);
    assert_eq!(node.version(), 5);
    assert!(has_reported(&node, "config_refused") && !has_reported(&node, "config_type_unknown"));
}

/// Guards against a node that serves a part of the newest configuration and then goes back to the
/// whole one that is in force at the others.
#[test]
fn partial_beside_earlier_config() {
    let mut node = Node::started(vec![partial_item(5, 50)]);
    node.event(heartbeat_with_config(1, 4));
    node.advance(1_000);
    assert_eq!(node.version(), 0);
    node.event(peer_config(Some(config(4))));
    assert_eq!(node.version(), 4);
}

/// Guards against a node that serves nothing while nodes of a later build have the configuration, of
/// which it can read only a part, in force.
#[test]
fn partial_beside_later_build() {
    let mut node = Node::started(vec![partial_item(5, 50)]);
    node.event(heartbeat_with_config(1, 5));
    node.advance(1_000);
    node.event(peer_config(None));
    assert_eq!(node.version(), 5);
}
