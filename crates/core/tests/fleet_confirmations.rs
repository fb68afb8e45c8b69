//! Confirmations that a node knows the operator's keys, and polls of the store without them.

mod fleet_common;

use almondsail_core::fleet::{
    ConfigProblem, Confirmation, FleetAction, FleetEvent, Heartbeat, KeySpace, LeaseId,
    StoreFailure, StoreItem, StoreKey, StoreReply, StoreRequest, StoreWatcher, StoreWrite,
    StoredValue,
};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::Millis;
use fleet_common::node::{Node, config_item};
use fleet_common::{config, heartbeat, peer_config};

fn is_operator_watch(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Watch(KeySpace::Operator, ..))
}

fn is_renewal(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::KeepLease(_))
}

fn is_poll(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Watch(KeySpace::Operator, _, StoreWatcher::POLL_TIME))
}

/// Returns heartbeat `sequence` of the node `id`, which watches the store instead of this one and
/// has heard of it `age` ago up to `revision`.
fn watcher(n: u16, id: &str, sequence: u64, revision: u64, age: u64) -> Heartbeat {
    let mut heartbeat = heartbeat(n, sequence);
    heartbeat.entry.node = id.parse().unwrap();
    let position = StorePosition::new(StoreEra::default(), Revision::new(revision));
    heartbeat.confirmation = Some(Confirmation { position, age: Millis::new(age) });
    heartbeat
}

/// Returns a node with a lease that leaves the watches to two others.
fn follower() -> Node {
    let mut node = Node::started(vec![config_item(5, 50)]);
    node.reply(
        |request| matches!(request, StoreRequest::OpenLease(_)),
        Ok(StoreReply::Lease(LeaseId::new(1))),
    );
    node.reply(
        |request| matches!(request, StoreRequest::Write(StoreWrite::Node(..))),
        Ok(StoreReply::Written(Revision::new(101))),
    );
    node.event(FleetEvent::Heartbeat(watcher(2, "m1", 1, 100, 0)));
    node.event(FleetEvent::Heartbeat(watcher(3, "m2", 1, 100, 0)));
    node.reply(is_operator_watch, Ok(StoreReply::Changes(Vec::new(), Revision::new(100))));
    node
}

fn count(node: &Node, is_counted: impl Fn(&StoreRequest) -> bool) -> usize {
    node.open_requests.iter().filter(|(_, request)| is_counted(request)).count()
}

/// Lets the leader of the watchers say that the store does not answer it.
fn lose_leader(node: &mut Node) {
    let lost = Heartbeat { is_store_reached: false, ..watcher(2, "m1", 2, 100, 1_000) };
    node.event(FleetEvent::Heartbeat(lost));
}

/// Guards against a node that asks the store although others have confirmed what it knows.
#[test]
fn poll_confirmed_by_others() {
    let mut node = follower();
    for sequence in 2..20 {
        node.advance(300);
        node.event(FleetEvent::Heartbeat(watcher(2, "m1", sequence, 100, 0)));
        node.event(FleetEvent::Heartbeat(watcher(3, "m2", sequence, 100, 300)));
        assert_eq!(count(&node, is_operator_watch), 0);
    }
}

/// Guards against a node that reaches the store and waits for watchers that don't.
#[test]
fn poll_leader_lost() {
    let mut node = follower();
    lose_leader(&mut node);
    node.advance(200);
    assert_eq!(count(&node, is_poll), 0, "it does not know whether the store answers");
    node.reply(is_renewal, Ok(StoreReply::Lease(LeaseId::new(1))));
    assert_eq!(count(&node, is_poll), 1);
    node.report_change(KeySpace::Operator, config_item(6, 102));
    assert_eq!(node.version(), 6);
}

/// Guards against nodes that all send polls to a store that answers none of them.
#[test]
fn poll_store_silent() {
    for failure in [StoreFailure::Unanswered, StoreFailure::Refused] {
        let mut node = follower();
        lose_leader(&mut node);
        node.advance(200);
        node.reply(is_renewal, Err(failure));
        node.advance(500);
        assert_eq!(count(&node, is_poll), 0, "{failure}");
    }
}

/// Guards against a node that goes on trusting a leader that no longer says anything.
#[test]
fn poll_leader_frozen() {
    let mut node = follower();
    for sequence in 2..8 {
        node.advance(300);
        // The other watcher lives, and has nothing newer to tell.
        node.event(FleetEvent::Heartbeat(watcher(3, "m2", sequence, 100, 300 * (sequence - 1))));
    }
    assert_eq!(count(&node, is_renewal), 1);
    node.reply(is_renewal, Ok(StoreReply::Lease(LeaseId::new(1))));
    assert_eq!(count(&node, is_poll), 1);
}

/// Guards against a node that takes a confirmation of a configuration that it does not have for one of
/// its own, and passes it on.
#[test]
fn confirmation_of_newer_config() {
    let mut node = follower();
    let mut newer = watcher(2, "m1", 2, 105, 0);
    newer.config_version = ConfigVersion::new(6);
    node.advance(500);
    node.event(FleetEvent::Heartbeat(newer));
    let confirmed = node.control.last_updates().confirmed.unwrap();
    assert!(node.now.since(confirmed) >= Millis::new(500).into());
}

/// Guards against a position that another writer has made up, after which the node skips the changes
/// of the store for ever.
#[test]
fn confirmation_position_too_large() {
    let mut node = follower();
    node.event(FleetEvent::Heartbeat(watcher(3, "m2", 2, 1 << 40, 0)));
    lose_leader(&mut node);
    node.advance(2_000);
    node.reply(is_renewal, Ok(StoreReply::Lease(LeaseId::new(1))));
    node.reply(is_operator_watch, Ok(StoreReply::Changes(Vec::new(), Revision::new(102))));
    node.advance(2_000);
    node.list_as_of(KeySpace::Operator, vec![config_item(6, 102)], 102);
    assert_eq!(node.version(), 6);
}

/// Guards against callers that are told that a route does not exist by a node that waits for a newer
/// configuration, and against a node that says so for ever.
#[test]
fn view_outdated_config() {
    let mut node = follower();
    let mut newer = watcher(2, "m1", 2, 105, 0);
    newer.config_version = ConfigVersion::new(6);
    assert!(!node.control.view(node.now).is_outdated);
    node.actions.clear();
    node.event(FleetEvent::Heartbeat(newer));
    assert!(node.control.view(node.now).is_outdated);
    assert!(node.actions.contains(&FleetAction::Publish));
    node.event(peer_config(Some(config(6))));
    assert!(!node.control.view(node.now).is_outdated);
}

/// Returns the position that `node` tells others in its next heartbeat.
fn told_position(node: &mut Node) -> u64 {
    node.advance(400);
    let told = node.actions.iter().rev().find_map(|action| match action {
        FleetAction::Heartbeat(heartbeat, _) => heartbeat.confirmation,
        _ => None,
    });
    told.map_or(0, |confirmation| confirmation.position.revision.get())
}

/// Guards against a configuration that no node reads because one that can't read it has told the others
/// that it knows all of the store: they may be of a build that can.
#[test]
fn confirmation_config_refused() {
    let mut node = Node::started(vec![config_item(5, 50)]);
    node.event(FleetEvent::Heartbeat(heartbeat(2, 1)));
    let refused = StoredValue::Config(Err(ConfigProblem::Unreadable("unknown word".into())));
    let revision = Revision::new(105);
    let item = StoreItem { key: StoreKey::Config, revision, value: refused };
    node.advance(100);
    node.report_change(KeySpace::Operator, item);
    assert_eq!(told_position(&mut node), 100);
    node.report_change(KeySpace::Operator, config_item(7, 108));
    assert_eq!(told_position(&mut node), 108);
}

/// Guards against an order that no node reads because one could not, and later changes hide it.
#[test]
fn confirmation_item_unreadable() {
    let mut node = Node::started(vec![config_item(5, 50)]);
    node.event(FleetEvent::Heartbeat(heartbeat(2, 1)));
    let key = StoreKey::Order("bays".parse().unwrap());
    let value = StoredValue::Unreadable("unknown word".into());
    let revision = Revision::new(105);
    node.report_change(KeySpace::Operator, StoreItem { key, revision, value });
    node.advance(400);
    node.report_change(KeySpace::Operator, config_item(7, 108));
    assert_eq!(told_position(&mut node), 100);
}

/// Guards against a leader of the watchers that keeps a silence of the store to itself until its
/// request has timed out.
#[test]
fn watch_of_leader_overdue() {
    let mut node = Node::started(vec![config_item(5, 50)]);
    node.event(FleetEvent::Heartbeat(heartbeat(2, 1)));
    node.advance(1_250);
    let told = node.actions.iter().rev().find_map(|action| match action {
        FleetAction::Heartbeat(heartbeat, _) => Some(heartbeat.is_store_reached),
        _ => None,
    });
    assert_eq!(told, Some(false));
}
